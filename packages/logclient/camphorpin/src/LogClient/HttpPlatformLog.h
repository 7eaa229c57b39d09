#ifndef CAMPHORPIN_SRC_LOGCLIENT_HTTPPLATFORMLOG_H
#define CAMPHORPIN_SRC_LOGCLIENT_HTTPPLATFORMLOG_H

#include "camphorpin/Core.h"
#include "camphorpin/src/LogClient/PlatformLog.h"

#include <cstddef>
#include <memory>
#include <string_view>

namespace camphorpin {

/// \class HttpLogSettings
/// \brief The address, timeout and limit of the connection to the log.
struct HttpLogSettings {
  HostAddress Address;
  /// Time from a call to the end of its reply.
  Duration ReplyTimeout = Duration::seconds(5);
  /// A reply with a longer body is discarded, which bounds the memory of a
  /// call.
  std::size_t MaxReplyBytes = 4U << 20U;
};

/// \class HttpPlatformLog
/// \brief Accesses the log over HTTP.
///
/// The protocol of the platform is not published yet; only this class depends
/// on it. It assumes:
/// - `POST /v1/records` with the record as body returns `{"offset":N}`;
/// - `GET /v1/records?from=N&max=M` returns
///   `{"first":F,"next":X,"records":[{"offset":N,"body":"..."}]}`.
///
/// An append is Unavailable only if the connection was never established or
/// the log rejected the request with a 4xx status. Every other failure is
/// Unknown, including a 5xx status, because a server behind the one that
/// replied may have stored the record.
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
