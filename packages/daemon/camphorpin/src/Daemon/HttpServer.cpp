#include "camphorpin/src/Daemon/HttpServer.h"

#include "camphorpin/src/Daemon/HttpHeaders.h"
#include "camphorpin/src/Daemon/HttpStream.h"
#include "camphorpin/src/Daemon/Listener.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string_view>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace camphorpin {

namespace {

/// Wait for a free descriptor.
constexpr std::chrono::milliseconds AcceptRetryDelay{1};
/// Time for which an idle connection is kept open.
constexpr Duration KeepAlive = Duration::seconds(60);
/// Requests on one connection; it is not bounded.
constexpr std::size_t KeepAliveRequests = 1000000000;

/// Answers of the HTTP library itself to a request that it could not read to
/// its end. What follows on the connection is not the start of a request.
constexpr std::array<std::string_view, 5> ReadFailures = {
    "HTTP/1.1 400", "HTTP/1.1 408", "HTTP/1.1 413", "HTTP/1.1 414",
    "HTTP/1.1 431"};

bool isReadFailure(std::string_view Answer) {
  return std::any_of(ReadFailures.begin(), ReadFailures.end(),
                     [Answer](std::string_view Start) {
                       return Answer.substr(0, Start.size()) == Start;
                     });
}

/// \returns the connections that may be open. Descriptors are kept for the
/// backend server, the log and other nodes.
std::size_t connectionLimit(const HttpLimits &Limits) {
  constexpr std::size_t DescriptorDivisor = 4;
  rlimit Process{};
  if (::getrlimit(RLIMIT_NOFILE, &Process) != 0)
    return Limits.Connections;
  return std::min<std::size_t>(Limits.Connections,
                               Process.rlim_cur / DescriptorDivisor);
}

void refuse(httplib::Response &Response, int Status, std::string_view Text) {
  Response.status = Status;
  Response.set_header(headers::Verdict, std::string(toString(Verdict::NotRun)));
  Response.set_header(headers::Reason,
                      std::string(toString(RefusalReason::BadRequest)));
  Response.set_header("Connection", "close");
  Response.set_content(std::string(Text) + "\n", "text/plain");
}

std::string refusalText(int Status, std::string_view StatusText,
                        std::string_view Message) {
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " ";
  Text += StatusText;
  Text += "\r\nCamphorpin-Verdict: not-run\r\nCamphorpin-Reason: bad-request"
          "\r\nConnection: close\r\nContent-Type: text/plain\r\n"
          "Content-Length: ";
  Text += std::to_string(Message.size() + 1) + "\r\n\r\n";
  Text += Message;
  return Text + "\n";
}

/// Renames a header so that the HTTP library does not act on it.
void hide(httplib::Request &Request, const char *Name, const char *Hidden) {
  Request.headers.erase(Hidden);
  if (!Request.has_header(Name))
    return;
  const std::string Value = Request.get_header_value(Name);
  Request.headers.erase(Name);
  Request.set_header(Hidden, Value);
}

/// \returns false if the end of the body is in doubt.
bool bodyIsFramed(const httplib::Request &Request) {
  const std::size_t Lengths = Request.get_header_value_count("Content-Length");
  const std::size_t Codings =
      Request.get_header_value_count("Transfer-Encoding");
  if (Lengths + Codings > 1)
    return false;
  if (Codings == 1)
    return sameHeader(Request.get_header_value("Transfer-Encoding"), "chunked");
  if (Lengths == 0)
    return true;
  const std::string Length = Request.get_header_value("Content-Length");
  return !Length.empty() && Length.size() < 19 &&
         std::all_of(Length.begin(), Length.end(),
                     [](char C) { return C >= '0' && C <= '9'; });
}

/// \returns true if the node can pass on all headers of the request.
bool hasAllowedHeaderCount(const httplib::Request &Request) {
  return Request.headers.size() <= MaxHeaderFields;
}

/// \returns false if a header cannot be passed on as it is. The HTTP library
/// takes any bytes before a colon for a name, and decodes escaped bytes of
/// values, such as line breaks.
bool hasValidHeaders(const httplib::Request &Request) {
  return std::all_of(Request.headers.begin(), Request.headers.end(),
                     [](const std::pair<const std::string, std::string> &Item) {
                       return isValidHeaderName(Item.first) &&
                              isValidHeaderText(Item.second);
                     });
}

bool hasBody(const httplib::Request &Request) {
  return Request.has_header("Transfer-Encoding") ||
         (Request.has_header("Content-Length") &&
          Request.get_header_value("Content-Length") != "0");
}

} // namespace

HttpServer::HttpServer(const HttpLimits &Limits, RequestHandler Handler)
    : Limits(Limits), Handler(std::move(Handler)) {
  set_payload_max_length(Limits.Body);
  // The header Keep-Alive of the answers shows these two.
  set_keep_alive_timeout(KeepAlive.wholeMillis() / 1000);
  set_keep_alive_max_count(KeepAliveRequests);
  set_pre_routing_handler(
      [this](const httplib::Request &Request, httplib::Response &Response) {
        return handleWithoutBody(Request, Response);
      });
  Post(".*",
       [this](const httplib::Request &Request, httplib::Response &Response,
              const httplib::ContentReader &Reader) {
         handleWithBody(Request, Response, Reader);
       });
  set_error_handler([](const httplib::Request &, httplib::Response &Response) {
    // Answers of the node or of a backend server carry a verdict already.
    if (!Response.has_header(headers::Verdict))
      refuse(Response, Response.status, "bad request");
  });
}

HttpServer::~HttpServer() {
  stop();
  if (ListenSocket >= 0)
    ::close(ListenSocket);
}

bool HttpServer::bind(const HostAddress &Address) {
  ListenSocket = listenTcp(Address);
  return ListenSocket >= 0;
}

void HttpServer::start() {
  Connections = std::make_unique<ConnectionScheduler>(
      Limits, connectionLimit(Limits),
      [this](HttpStream &Stream) { return serveOne(Stream); });
  Thread = std::thread([this] { acceptAll(); });
}

void HttpServer::stop() {
  if (!Thread.joinable())
    return;
  Stopping = true;
  Wake.give();
  Thread.join();
  Connections->stop();
}

void HttpServer::acceptAll() {
  while (!Stopping) {
    std::array<pollfd, 2> Waiting = {
        {{ListenSocket, POLLIN, 0}, {Wake.descriptor(), POLLIN, 0}}};
    ::poll(Waiting.data(), Waiting.size(), /*timeout=*/-1);
    acceptWaiting();
  }
  // What has connected before the stop is not dropped.
  acceptWaiting();
  ::close(std::exchange(ListenSocket, -1));
}

void HttpServer::acceptWaiting() {
  while (true) {
    const int Socket = ::accept4(ListenSocket, nullptr, nullptr, SOCK_CLOEXEC);
    if (Socket >= 0) {
      const int On = 1;
      ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
      Connections->add(Socket);
      continue;
    }
    // A connection that has ended before it was accepted is passed over.
    if (errno == ECONNABORTED || errno == EINTR)
      continue;
    // No descriptor is free; some are once connections have ended.
    if (errno != EAGAIN)
      std::this_thread::sleep_for(AcceptRetryDelay);
    return;
  }
}

bool HttpServer::serveOne(HttpStream &Stream) {
  bool Closed = false;
  const bool Done = process_request(Stream, Stopping, Closed,
                                    [this, &Stream](httplib::Request &Request) {
                                      Stream.endHeaders();
                                      prepare(Request);
                                    });
  if (Stream.headersTooLarge())
    Stream.replaceOutput(refusalText(431, "Request Header Fields Too Large",
                                     "the headers are too large"));
  else if (Stream.tooSlow())
    Stream.replaceOutput(
        refusalText(408, "Request Timeout", "the request took too long"));
  const bool Failed = isReadFailure(Stream.unsent());
  return Stream.flush() && Done && !Closed && !Failed;
}

void HttpServer::prepare(httplib::Request &Request) {
  hide(Request, "Content-Type", headers::HiddenType);
  hide(Request, "Content-Encoding", headers::HiddenCoding);
  // Answers are passed on as the backend server sent them.
  Request.headers.erase("Accept-Encoding");
  Request.headers.erase("Range");
  Request.ranges.clear();
}

httplib::Server::HandlerResponse
HttpServer::handleWithoutBody(const httplib::Request &Request,
                              httplib::Response &Response) {
  if (!bodyIsFramed(Request)) {
    refuse(Response, 400, "the length of the body is in doubt");
    return HandlerResponse::Handled;
  }
  if (!hasAllowedHeaderCount(Request)) {
    refuse(Response, 431, "there are too many headers");
    return HandlerResponse::Handled;
  }
  if (!hasValidHeaders(Request)) {
    refuse(Response, 400, "a header is malformed");
    return HandlerResponse::Handled;
  }
  const bool IsPost = Request.method == "POST";
  if (!IsPost && hasBody(Request)) {
    refuse(Response, 400, "only POST may have a body");
    return HandlerResponse::Handled;
  }
  if (IsPost && hasBody(Request))
    return HandlerResponse::Unhandled;
  ++Handling;
  Handler(Request, std::string(), Response);
  --Handling;
  return HandlerResponse::Handled;
}

void HttpServer::handleWithBody(const httplib::Request &Request,
                                httplib::Response &Response,
                                const httplib::ContentReader &Reader) {
  std::string Body;
  // A body that grows is held twice for a moment.
  const std::uint64_t Announced =
      Request.get_header_value<std::uint64_t>("Content-Length");
  if (Announced <= Limits.Body)
    Body.reserve(Announced);
  bool Exceeds = false;
  const bool Whole = Reader([&](const char *Data, std::size_t Size) {
    Exceeds = Body.size() + Size > Limits.Body;
    if (!Exceeds)
      Body.append(Data, Size);
    return !Exceeds;
  });
  if (!Whole) {
    const bool TooLarge = Response.status == 413 || Exceeds;
    refuse(Response, TooLarge ? 413 : 400,
           TooLarge ? "the body is too large" : "the body is incomplete");
    return;
  }
  ++Handling;
  Handler(Request, std::move(Body), Response);
  --Handling;
}

} // namespace camphorpin
