#include "camphorpin/src/Daemon/BackendClient.h"

#include "camphorpin/src/Daemon/HttpHeaders.h"
#include "camphorpin/src/Daemon/Listener.h"
#include "camphorpin/src/Daemon/RequestReader.h"

#include <algorithm>
#include <cerrno>
#include <poll.h>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace camphorpin {

namespace {

constexpr Duration CancelTimeout = Duration::millis(500);
constexpr int ProbeTimeoutMillis = 50;
constexpr unsigned ShedStatus = 503;

constexpr std::string_view NotRunValue = "not-run";

BackendDone notRun(const BackendJob &Job, RefusalReason Reason) {
  return {Job.Id, {.Verdict = Verdict::NotRun, .Reason = Reason}, nullptr};
}

BackendDone mayHaveRun(const BackendJob &Job, RefusalReason Reason) {
  return {Job.Id, {.Verdict = Verdict::MayHaveRun, .Reason = Reason}, nullptr};
}

/// \returns true if nothing listens at the address, which after a lost
/// connection means that the backend server has ended.
bool refusesConnections(const HostAddress &Address) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  if (Socket < 0)
    return false;
  const sockaddr_in Name = toSockaddr(Address);
  int Error = 0;
  if (::connect(Socket, reinterpret_cast<const sockaddr *>(&Name),
                sizeof(Name)) != 0)
    Error = errno;
  if (Error == EINPROGRESS) {
    pollfd Entry{Socket, POLLOUT, 0};
    socklen_t Size = sizeof(Error);
    if (::poll(&Entry, 1, ProbeTimeoutMillis) > 0)
      ::getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Error, &Size);
  }
  ::close(Socket);
  return Error == ECONNREFUSED;
}

} // namespace

BackendClient::BackendClient(const HostAddress &Address, std::size_t MaxBody,
                             const Clock &Time)
    : Address(Address), MaxBody(MaxBody), Time(Time), Client(Address) {}

BackendDone BackendClient::run(const BackendJob &Job) {
  const Instant Deadline = Job.Start + Job.Context.Remaining;
  const Duration Remaining = Deadline - Time.now();
  if (Remaining <= Duration())
    return notRun(Job, RefusalReason::Deadline);
  ExchangeRequest Request;
  Request.Bytes = requestHead(Job, Remaining);
  if (Job.Body->Method != "GET")
    Request.Body = SharedBody::sharing(
        std::shared_ptr<const std::string>(Job.Body, &Job.Body->Body));
  Request.MaxBodyBytes = MaxBody;
  return interpret(Job, Client.exchange(std::move(Request), Remaining));
}

std::string BackendClient::requestHead(const BackendJob &Job,
                                       Duration Remaining) const {
  const std::int64_t Millis =
      std::max<std::int64_t>(1, Remaining.wholeMillis());
  const bool IsGet = Job.Body->Method == "GET";
  std::string Result = IsGet ? "GET /" : "POST /";
  Result += Job.Context.Service.string() + "/" + Job.Context.Operation.string();
  if (!Job.Body->Query.empty())
    Result += "?" + Job.Body->Query;
  Result += " HTTP/1.1\r\n";
  Result += detail::headerLine("Host", Address.toString());
  for (const HeaderField &Field : Job.Body->Headers)
    Result += detail::headerLine(Field.Name, Field.Value);
  Result += detail::headerLine(headers::Context,
                               contextToken(Job.Id, Job.Context.Key));
  Result += detail::headerLine(headers::DeadlineMs, std::to_string(Millis));
  Result += detail::headerLine(headers::Key, Job.Context.Key.toString());
  Result += detail::headerLine(headers::Caller, Job.Context.Caller.string());
  if (!IsGet)
    Result += detail::headerLine("Content-Length",
                                 std::to_string(Job.Body->Body.size()));
  return Result.append("\r\n");
}

BackendDone BackendClient::interpret(const BackendJob &Job,
                                     ExchangeResult Result) {
  switch (Result.Outcome) {
  case ExchangeOutcome::Complete:
    return interpretResponse(Job, std::move(Result.Response));
  case ExchangeOutcome::NotSent:
    return notRun(Job, RefusalReason::BackendFailed);
  case ExchangeOutcome::ConnectionLost:
  case ExchangeOutcome::Malformed:
    break;
  }
  return lost(Job);
}

BackendDone BackendClient::interpretResponse(const BackendJob &Job,
                                             HttpResponse Response) {
  if (Response.result_int() == ShedStatus &&
      detail::headerOf(Response, headers::Shed) == NotRunValue) {
    // A copy of the refusal on this connection would be taken for the answer
    // to the next request.
    Client.disconnect();
    return notRun(Job, RefusalReason::BackendShed);
  }
  std::vector<HeaderField> Headers = endToEndHeaders(Response);
  if (Headers.size() > MaxHeaderFields)
    return mayHaveRun(Job, RefusalReason::BackendFailed);
  std::shared_ptr<Payload> Body = std::make_shared<Payload>();
  Body->Status = static_cast<std::uint16_t>(Response.result_int());
  Body->Headers = std::move(Headers);
  Body->Body = std::move(Response.body());
  return {Job.Id,
          {.Verdict = Verdict::Ran, .AnswerBytes = Body->memoryBytes()},
          std::move(Body)};
}

BackendDone BackendClient::lost(const BackendJob &Job) const {
  const bool Late = Time.now() >= Job.Start + Job.Context.Remaining;
  BackendDone Done = mayHaveRun(Job, Late ? RefusalReason::Deadline
                                          : RefusalReason::BackendFailed);
  Done.Result.ConnectionLost = !Late;
  Done.Result.BackendDown = refusesConnections(Address);
  return Done;
}

void BackendClient::cancel(const std::string &Token) {
  ExchangeRequest Request;
  Request.Bytes = "DELETE /camphorpin/requests/" + Token + " HTTP/1.1\r\n" +
                  detail::headerLine("Host", Address.toString()) + "\r\n";
  Client.exchange(std::move(Request), CancelTimeout);
}

} // namespace camphorpin
