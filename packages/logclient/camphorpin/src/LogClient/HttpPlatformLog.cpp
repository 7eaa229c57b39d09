#include "camphorpin/src/LogClient/HttpPlatformLog.h"

#include "camphorpin/src/LogClient/LogReply.h"

#include <boost/leaf/error.hpp>
#include <cassert>
#include <chrono>
#include <httplib.h>
#include <optional>

namespace camphorpin {

namespace {

constexpr const char *RecordsPath = "/v1/records";
constexpr int StatusOk = 200;

std::chrono::microseconds toChrono(Duration Span) {
  return std::chrono::microseconds(Span.ticks());
}

/// \brief The outcome of one HTTP request.
struct Reply {
  /// The HTTP status, or nothing if no complete reply was received.
  std::optional<int> Status;
  httplib::Error Error = httplib::Error::Success;
  std::string Body;

  bool failedToConnect() const {
    return Error == httplib::Error::Connection ||
           Error == httplib::Error::ConnectionTimeout ||
           Error == httplib::Error::BindIPAddress;
  }

  std::string describeFailure() const {
    if (Status)
      return "the log replied with HTTP status " + std::to_string(*Status);
    return "no complete reply from the log: " + httplib::to_string(Error);
  }
};

boost::leaf::error_id makeReadError(LogReadError::Cause Cause,
                                    std::string Detail) {
  return boost::leaf::new_error(LogReadError{Cause, std::move(Detail)});
}

} // namespace

/// \brief A keep-alive HTTP connection to the log.
class HttpPlatformLog::Connection {
public:
  explicit Connection(const HttpLogSettings &Settings)
      : Settings(Settings), Client(Settings.Host, Settings.Port) {
    Client.set_keep_alive(true);
    Client.set_tcp_nodelay(true);
    Client.set_connection_timeout(toChrono(Settings.ConnectTimeout));
    Client.set_read_timeout(toChrono(Settings.ReplyTimeout));
    Client.set_write_timeout(toChrono(Settings.ReplyTimeout));
  }

  /// Sends \p Request and receives a reply with a body of at most
  /// MaxReplyBytes.
  Reply sendRequest(httplib::Request Request) {
    Reply Received;
    std::optional<Instant> BodyDeadline;
    Request.content_receiver = [&](const char *Data, std::size_t Size,
                                   std::uint64_t, std::uint64_t) {
      const Instant Now = Time.now();
      if (!BodyDeadline)
        BodyDeadline = Now + Settings.ReplyTimeout;
      if (Now > *BodyDeadline ||
          Received.Body.size() + Size > Settings.MaxReplyBytes)
        return false;
      Received.Body.append(Data, Size);
      return true;
    };
    httplib::Response Response;
    if (Client.send(Request, Response, Received.Error))
      Received.Status = Response.status;
    else
      Client.stop();
    return Received;
  }

private:
  HttpLogSettings Settings;
  SystemClock Time;
  httplib::Client Client;
};

HttpPlatformLog::HttpPlatformLog(const HttpLogSettings &Settings)
    : LogConnection(std::make_unique<Connection>(Settings)) {}

HttpPlatformLog::~HttpPlatformLog() = default;

AppendOutcome HttpPlatformLog::append(std::string_view Record) {
  httplib::Request Request;
  Request.method = "POST";
  Request.path = RecordsPath;
  Request.set_header("Content-Type", "application/json");
  Request.body = Record;
  const Reply Received = LogConnection->sendRequest(std::move(Request));
  const bool Rejected =
      Received.Status && *Received.Status >= 400 && *Received.Status < 500;
  if (Received.failedToConnect() || Rejected)
    return {AppendStatus::Unavailable, 0, Received.describeFailure()};
  if (Received.Status != StatusOk)
    return {AppendStatus::Unknown, 0, Received.describeFailure()};
  const std::optional<LogOffset> Offset =
      detail::parseAppendReply(Received.Body);
  if (!Offset)
    return {AppendStatus::Unknown, 0,
            "the reply of the log contains no valid offset"};
  return {AppendStatus::Accepted, *Offset, {}};
}

boost::leaf::result<LogBatch> HttpPlatformLog::read(LogOffset From,
                                                    std::size_t Max) {
  assert(Max > 0 && "a read must request at least one record");
  httplib::Request Request;
  Request.method = "GET";
  Request.path = std::string(RecordsPath) + "?from=" + std::to_string(From) +
                 "&max=" + std::to_string(Max);
  const Reply Received = LogConnection->sendRequest(std::move(Request));
  if (Received.Status != StatusOk)
    return makeReadError(LogReadError::Cause::Unavailable,
                         Received.describeFailure());
  std::optional<LogBatch> Batch =
      detail::parseReadReply(Received.Body, From, Max);
  if (!Batch)
    return makeReadError(LogReadError::Cause::Malformed,
                         "malformed reply from the log");
  return *std::move(Batch);
}

} // namespace camphorpin
