#ifndef CAMPHORPIN_SRC_LOGCLIENT_HTTPPLATFORMLOG_H
#define CAMPHORPIN_SRC_LOGCLIENT_HTTPPLATFORMLOG_H

#include "camphorpin/Core.h"
#include "camphorpin/src/LogClient/PlatformLog.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace camphorpin {

/// \class HttpLogSettings
/// \brief Where the log is and how long to wait for it.
struct HttpLogSettings {
  /// IPv4 address or host name.
  std::string Host = "127.0.0.1";
  std::uint16_t Port = 0;
  Duration ConnectTimeout = Duration::seconds(1);
  /// Longest silence while a reply is awaited, and longest time for the body
  /// of a reply.
  Duration ReplyTimeout = Duration::seconds(5);
  /// A longer body is rejected as malformed. This bounds the memory of a call.
  std::size_t MaxReplyBytes = 4U << 20U;
};

/// \class HttpPlatformLog
/// \brief The log over HTTP.
///
/// The platform's published protocol is not known yet, and only this class
/// depends on it. Assumed:
/// - `POST /v1/records` with the record as body gives `{"offset":N}`;
/// - `GET /v1/records?from=N&max=M` gives
///   `{"first":F,"next":X,"records":[{"offset":N,"body":"..."}]}`.
///
/// An append is Unavailable only if the connection was never established or
/// the log rejected the request with a 4xx status. Every other failure is
/// Unknown, also a 5xx status, because a part behind the one that answers may
/// have taken the record.
class HttpPlatformLog final : public PlatformLog {
public:
  explicit HttpPlatformLog(const HttpLogSettings &Settings);
  ~HttpPlatformLog() override;

  HttpPlatformLog(const HttpPlatformLog &) = delete;
  HttpPlatformLog &operator=(const HttpPlatformLog &) = delete;

  AppendOutcome append(std::string_view Record) override;
  boost::leaf::result<LogBatch> read(LogOffset From, std::size_t Max) override;

private:
  class Connection;

  std::unique_ptr<Connection> LogConnection;
};

} // namespace camphorpin

#endif
