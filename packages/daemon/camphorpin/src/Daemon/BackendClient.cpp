#include "camphorpin/src/Daemon/BackendClient.h"

#include "camphorpin/src/Daemon/HttpHeaders.h"
#include "camphorpin/src/Daemon/Listener.h"
#include "camphorpin/src/Daemon/RequestReader.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace camphorpin {

namespace {

/// The backend server runs on the same host, so a connection takes well under a
/// millisecond unless the server does not accept connections at all.
constexpr std::chrono::milliseconds ConnectTimeout{1000};
constexpr std::chrono::milliseconds CancelTimeout{500};
constexpr int ProbeTimeoutMillis = 50;
constexpr int ShedStatus = 503;

constexpr const char *NotRunValue = "not-run";

BackendDone notRun(const BackendJob &Job, RefusalReason Reason) {
  return {Job.Id, {.Verdict = Verdict::NotRun, .Reason = Reason}, nullptr};
}

BackendDone mayHaveRun(const BackendJob &Job, RefusalReason Reason) {
  return {Job.Id, {.Verdict = Verdict::MayHaveRun, .Reason = Reason}, nullptr};
}

/// An answer that ends with the connection cannot be told from a torn one.
bool isFramed(const httplib::Response &Response) {
  return Response.has_header("Content-Length") ||
         Response.has_header("Transfer-Encoding") || Response.status == 204 ||
         Response.status == 304;
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
    : Address(Address), MaxBody(MaxBody), Time(Time),
      Client("http://" + Address.toString()) {
  Client.set_keep_alive(true);
  Client.set_tcp_nodelay(true);
  Client.set_follow_location(false);
  Client.set_decompress(false);
  Client.set_connection_timeout(ConnectTimeout);
}

BackendDone BackendClient::run(const BackendJob &Job) {
  const Instant Deadline = Job.Start + Job.Context.Remaining;
  const Duration Remaining = Deadline - Time.now();
  if (Remaining <= Duration())
    return notRun(Job, RefusalReason::Deadline);
  Client.set_read_timeout(std::chrono::microseconds(Remaining.ticks()));
  Client.set_write_timeout(std::chrono::microseconds(Remaining.ticks()));

  std::string Body;
  httplib::Request Request;
  Request.method = Job.Body->Method == "GET" ? "GET" : "POST";
  Request.path =
      "/" + Job.Context.Service.string() + "/" + Job.Context.Operation.string();
  if (!Job.Body->Query.empty())
    Request.path += "?" + Job.Body->Query;
  Request.headers = headersFor(Job, Remaining);
  Request.body = Job.Body->Body;
  // The read timeout bounds one wait, not the whole answer.
  Request.content_receiver = [&](const char *Data, std::size_t Size,
                                 std::uint64_t, std::uint64_t) {
    if (Body.size() + Size > MaxBody || Time.now() > Deadline)
      return false;
    Body.append(Data, Size);
    return true;
  };
  httplib::Result Result = Client.send(Request);
  if (Result)
    Result->body = std::move(Body);
  return interpret(Job, Result);
}

httplib::Headers BackendClient::headersFor(const BackendJob &Job,
                                           Duration Remaining) const {
  httplib::Headers Result;
  for (const HeaderField &Field : Job.Body->Headers)
    Result.emplace(Field.Name, Field.Value);
  const std::int64_t Millis =
      std::max<std::int64_t>(1, Remaining.wholeMillis());
  Result.emplace(headers::Context, contextToken(Job.Id, Job.Context.Key));
  Result.emplace(headers::DeadlineMs, std::to_string(Millis));
  Result.emplace(headers::Key, Job.Context.Key.toString());
  Result.emplace(headers::Caller, Job.Context.Caller.string());
  return Result;
}

BackendDone BackendClient::interpret(const BackendJob &Job,
                                     const httplib::Result &Result) {
  if (!Result) {
    const bool NotConnected =
        Result.error() == httplib::Error::Connection ||
        Result.error() == httplib::Error::ConnectionTimeout;
    if (NotConnected)
      return notRun(Job, RefusalReason::BackendFailed);
    Client.stop();
    const bool Late = Time.now() >= Job.Start + Job.Context.Remaining;
    BackendDone Done = mayHaveRun(Job, Late ? RefusalReason::Deadline
                                            : RefusalReason::BackendFailed);
    Done.Result.ConnectionLost = !Late;
    Done.Result.BackendDown = refusesConnections(Address);
    return Done;
  }
  if (Result->status == ShedStatus &&
      Result->get_header_value(headers::Shed) == NotRunValue) {
    // A copy of the refusal on this connection would be taken for the answer
    // to the next request.
    Client.stop();
    return notRun(Job, RefusalReason::BackendShed);
  }
  std::vector<HeaderField> Headers = endToEndHeaders(Result->headers);
  if (!isFramed(*Result) || Headers.size() > MaxHeaderFields)
    return mayHaveRun(Job, RefusalReason::BackendFailed);
  std::shared_ptr<Payload> Body = std::make_shared<Payload>();
  Body->Status = static_cast<std::uint16_t>(Result->status);
  Body->Headers = std::move(Headers);
  Body->Body = Result->body;
  return {Job.Id,
          {.Verdict = Verdict::Ran, .AnswerBytes = Body->memoryBytes()},
          std::move(Body)};
}

void BackendClient::cancel(const std::string &Token) {
  Client.set_read_timeout(CancelTimeout);
  Client.set_write_timeout(CancelTimeout);
  Client.Delete("/camphorpin/requests/" + Token);
}

} // namespace camphorpin
