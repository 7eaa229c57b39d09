#include "camphorpin/src/LogClient/HttpPlatformLog.h"

#include "camphorpin/Http.h"
#include "camphorpin/src/LogClient/LogReply.h"

#include <boost/leaf/error.hpp>
#include <cassert>
#include <optional>
#include <string>
#include <utility>

namespace camphorpin {

namespace {

constexpr std::string_view RecordsPath = "/v1/records";
constexpr unsigned StatusOk = 200;

/// \brief How one HTTP request to the log ended.
struct RequestOutcome {
  ExchangeOutcome Outcome = ExchangeOutcome::ConnectionLost;
  /// The HTTP status, or nothing if no complete reply was received.
  std::optional<unsigned> Status;
  std::string Body;

  std::string describeFailure() const {
    if (Status)
      return "the log replied with HTTP status " + std::to_string(*Status);
    if (Outcome == ExchangeOutcome::NotSent)
      return "cannot connect to the log";
    if (Outcome == ExchangeOutcome::Malformed)
      return "the reply of the log is no valid HTTP, or too large";
    return "no complete reply from the log";
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
      : Settings(Settings), Client(Settings.Address) {}

  /// Sends a request and receives a reply with a body of at most
  /// MaxReplyBytes.
  /// \param RequestLine without the version.
  /// \param Extra further headers, each with CRLF.
  RequestOutcome sendRequest(std::string_view RequestLine,
                             std::string_view Extra, std::string_view Body) {
    ExchangeRequest Request;
    Request.Bytes = std::string(RequestLine) + " HTTP/1.1\r\n" +
                    detail::headerLine("Host", Settings.Address.toString());
    Request.Bytes.append(Extra).append("\r\n").append(Body);
    Request.MaxBodyBytes = Settings.MaxReplyBytes;
    ExchangeResult Result =
        Client.exchange(std::move(Request), Settings.ReplyTimeout);
    RequestOutcome Received{Result.Outcome, {}, {}};
    if (Result.Outcome == ExchangeOutcome::Complete) {
      Received.Status = Result.Response.result_int();
      Received.Body = std::move(Result.Response.body());
    }
    return Received;
  }

private:
  HttpLogSettings Settings;
  BlockingHttpClient Client;
};

HttpPlatformLog::HttpPlatformLog(const HttpLogSettings &Settings)
    : LogConnection(std::make_unique<Connection>(Settings)) {}

HttpPlatformLog::~HttpPlatformLog() = default;

AppendOutcome HttpPlatformLog::append(std::string_view Record) {
  const std::string Extra =
      detail::headerLine("Content-Type", "application/json") +
      detail::headerLine("Content-Length", std::to_string(Record.size()));
  const RequestOutcome Received = LogConnection->sendRequest(
      "POST " + std::string(RecordsPath), Extra, Record);
  const bool Rejected =
      Received.Status && *Received.Status >= 400 && *Received.Status < 500;
  if (Received.Outcome == ExchangeOutcome::NotSent || Rejected)
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
  const std::string Line = "GET " + std::string(RecordsPath) +
                           "?from=" + std::to_string(From) +
                           "&max=" + std::to_string(Max);
  const RequestOutcome Received = LogConnection->sendRequest(Line, {}, {});
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
