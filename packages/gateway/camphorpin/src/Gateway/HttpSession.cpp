#include "camphorpin/src/Gateway/HttpSession.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace camphorpin::detail {

namespace {

namespace http = boost::beast::http;

/// Limit of concurrent requests on one connection.
constexpr std::size_t MaxPipelinedRequests = 32;
/// Largest head of a request, whatever the configured limit.
constexpr std::size_t MaxHeadBytes = 1U << 20U;
/// Size of one read from the socket.
constexpr std::size_t ReadBytes = 16384;
/// Unsent bytes above which no further request is parsed, to bound the memory
/// that a slow reader uses.
constexpr std::size_t MaxUnsentBytes = 1U << 20U;
/// Copies of a request's body that a node holds while it passes the request on:
/// for a retry on another node, in the call, and encoded for the connection.
constexpr std::size_t BodyCopies = 3;
/// How long a connection that this side has closed waits for the caller, or for
/// further bytes of a body that is dropped.
constexpr Duration LingerTimeout = Duration::seconds(1);
/// How long sent bytes may stay unacknowledged.
constexpr Duration AckTimeout = Duration::seconds(10);

/// Empties \p Buffer, and returns its memory if it was large.
void releaseBytes(std::string &Buffer) {
  Buffer.clear();
  if (Buffer.capacity() > MaxUnsentBytes)
    Buffer.shrink_to_fit();
}

bool mayHaveBody(const HttpExchange &Exchange, unsigned Status) {
  return Exchange.request().method() != http::verb::head && Status != 204 &&
         Status != 304;
}

} // namespace

HttpSession::HttpSession(TcpSocket Socket, AsyncHttpServer &Server)
    : Socket(std::move(Socket)), Server(&Server),
      Timer(this->Socket.get_executor()), Unsent(Server.Budget),
      LastActivity(std::chrono::steady_clock::now()) {}

void HttpSession::start() {
  setSocketOptions(Socket, AckTimeout);
  ErrorCode Ignored;
  Socket.non_blocking(true, Ignored);
  armTimer(Server->Limits.IdleTimeout);
  read();
}

void HttpSession::armTimer(Duration Span) {
  Timer.expires_after(timerSpan(Span));
  Timer.async_wait([Self = shared_from_this()](const ErrorCode &Error) {
    if (!Error && !Self->Closed)
      Self->onTimer();
  });
}

void HttpSession::onTimer() {
  if (Lingering) {
    close();
    return;
  }
  const Duration Bound = hasPartialRequest() ? Server->Limits.HeaderTimeout
                                             : Server->Limits.IdleTimeout;
  const auto Idle = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now() - LastActivity);
  const Duration Left = Bound - Duration::ticks(Idle.count());
  if (Left > Duration() || !Pending.empty() || Writing) {
    armTimer(std::max(Left, Duration::millis(100)));
    return;
  }
  if (!hasPartialRequest()) {
    close();
    return;
  }
  NoMoreRequests = true;
  const HttpReply Reply = textReply(408, "request incomplete");
  OutputBuffer += Reply.Head +
                  "Content-Length: " + std::to_string(Reply.Body.size()) +
                  "\r\nConnection: close\r\n\r\n" + Reply.Body;
  CurrentParser.reset();
  BodyShare.reset();
  Buffer.consume(Buffer.size());
  write();
}

void HttpSession::read() {
  if (Reading || Closed)
    return;
  Reading = true;
  Socket.async_wait(TcpSocket::wait_read,
                    [Self = shared_from_this()](const ErrorCode &Error) {
                      Self->onReadable(Error);
                    });
}

void HttpSession::onReadable(const ErrorCode &WaitError) {
  Reading = false;
  if (Closed)
    return;
  // Only bytes that have arrived extend the buffer. A pending read into it
  // would go wrong when earlier bytes are consumed.
  std::array<char, ReadBytes> Chunk;
  ErrorCode Error = WaitError;
  const std::size_t Bytes =
      Error ? 0 : Socket.read_some(boost::asio::buffer(Chunk), Error);
  if (Error == boost::asio::error::would_block) {
    read();
    return;
  }
  if (Error) {
    close();
    return;
  }
  onRead(std::string_view(Chunk.data(), Bytes));
}

void HttpSession::onRead(std::string_view Bytes) {
  boost::asio::buffer_copy(Buffer.prepare(Bytes.size()),
                           boost::asio::buffer(Bytes));
  Buffer.commit(Bytes.size());
  if (Lingering) {
    DroppedBytes += Buffer.size();
    Buffer.consume(Buffer.size());
    // A caller that still sends a body would lose the response to a reset.
    if (DroppedBytes <= Server->Limits.BodyBytes)
      armTimer(LingerTimeout);
    read();
    return;
  }
  LastActivity = std::chrono::steady_clock::now();
  parse();
  // Reading continues while requests run, to detect that the caller
  // disconnects.
  if (!Closed && Buffer.size() < ReadBytes)
    read();
}

void HttpSession::parse() {
  while (!Closed && !NoMoreRequests && Buffer.size() > 0 &&
         Pending.size() < MaxPipelinedRequests &&
         OutputBuffer.size() < MaxUnsentBytes) {
    if (CurrentParser && !canParse(*CurrentParser, Buffer.size()))
      break;
    if (!CurrentParser) {
      CurrentParser.emplace();
      CurrentParser->eager(true);
      CurrentParser->header_limit(static_cast<std::uint32_t>(
          std::min<std::size_t>(Server->Limits.HeaderBytes, MaxHeadBytes)));
      CurrentParser->body_limit(Server->Limits.BodyBytes);
    }
    ErrorCode Error;
    const std::size_t Used = CurrentParser->put(Buffer.data(), Error);
    Buffer.consume(Used);
    if ((!Error || Error == http::error::need_more) && !reserveBody()) {
      rejectWith(Server->Handler.refuseBody(CurrentParser->get()));
      return;
    }
    if (Error == http::error::need_more)
      break;
    if (Error) {
      reject(Error);
      return;
    }
    if (CurrentParser->is_done()) {
      HttpRequest Request = CurrentParser->release();
      CurrentParser.reset();
      if (hasUnsupportedTransferCoding(Request)) {
        reject(http::make_error_code(http::error::bad_transfer_encoding));
        return;
      }
      dispatch(std::move(Request));
    } else if (Used == 0) {
      break;
    }
  }
  if (NoMoreRequests)
    Buffer.consume(Buffer.size());
  if (hasPartialRequest() && !HeaderTimerArmed && !NoMoreRequests)
    armTimer(Server->Limits.HeaderTimeout);
  HeaderTimerArmed = hasPartialRequest();
}

bool HttpSession::reserveBody() {
  if (!Server->Budget || !CurrentParser->is_header_done())
    return true;
  if (!BodyShare)
    BodyShare = std::make_unique<BudgetShare>(Server->Budget);
  // The parser allocates a body of known length at once.
  const std::uint64_t Announced =
      CurrentParser->content_length().value_or(std::uint64_t(0));
  const std::size_t Bytes =
      std::max<std::size_t>(Announced, CurrentParser->get().body().size());
  return BodyShare->resize(Bytes * BodyCopies);
}

void HttpSession::dispatch(HttpRequest Request) {
  NoMoreRequests = !Request.keep_alive();
  const auto Exchange = std::make_shared<HttpExchange>(
      std::move(Request), std::weak_ptr<HttpSession>(weak_from_this()));
  Exchange->Held = std::move(BodyShare);
  Pending.push_back(Exchange);
  try {
    Server->Handler.onRequest(Exchange);
  } catch (...) {
    // Whether the request runs is not known.
    NoMoreRequests = true;
    Exchange->reply(textReply(500, "internal error"));
    throw;
  }
}

void HttpSession::reject(const ErrorCode &Error) {
  unsigned Status = 400;
  if (Error == http::error::body_limit)
    Status = 413;
  if (Error == http::error::header_limit)
    Status = 431;
  rejectWith(textReply(Status, Error.message()));
}

void HttpSession::rejectWith(HttpReply Reply) {
  NoMoreRequests = true;
  CurrentParser.reset();
  BodyShare.reset();
  Buffer.consume(Buffer.size());
  const auto Exchange = std::make_shared<HttpExchange>(
      HttpRequest(), std::weak_ptr<HttpSession>(weak_from_this()));
  Pending.push_back(Exchange);
  Exchange->reply(std::move(Reply));
}

void HttpSession::append(const HttpExchange &Exchange) {
  const HttpReply &Reply = Exchange.Response;
  OutputBuffer += Reply.Head;
  if (mayHaveBody(Exchange, Reply.Status))
    OutputBuffer +=
        headerLine("Content-Length", std::to_string(Reply.Body.size()));
  // Only the last response carries Connection: close, because a client treats
  // requests pipelined after such a response as not processed.
  if ((NoMoreRequests || Server->Draining) && Pending.size() == 1) {
    NoMoreRequests = true;
    OutputBuffer += "Connection: close\r\n";
  }
  OutputBuffer += "\r\n";
  if (mayHaveBody(Exchange, Reply.Status))
    OutputBuffer += Reply.Body;
}

void HttpSession::flush() {
  if (Closed)
    return;
  while (!Pending.empty() && Pending.front()->Answered) {
    append(*Pending.front());
    // The bytes are counted with those of OutputBuffer from here on.
    Pending.front()->Held.reset();
    Pending.pop_front();
  }
  countUnsentBytes();
  write();
}

void HttpSession::countUnsentBytes() {
  Unsent.set(OutputBuffer.size() + InFlight.size());
}

void HttpSession::write() {
  if (Writing || Closed || OutputBuffer.empty())
    return;
  Writing = true;
  InFlight.swap(OutputBuffer);
  boost::asio::async_write(
      Socket, boost::asio::buffer(InFlight),
      [Self = shared_from_this()](const ErrorCode &Error, std::size_t) {
        Self->onWritten(Error);
      });
}

void HttpSession::onWritten(const ErrorCode &Error) {
  Writing = false;
  releaseBytes(InFlight);
  countUnsentBytes();
  if (Closed)
    return;
  if (Error) {
    close();
    return;
  }
  LastActivity = std::chrono::steady_clock::now();
  write();
  closeIfDone();
  if (Closed || Lingering)
    return;
  parse();
  if (!Closed && Buffer.size() < ReadBytes)
    read();
}

void HttpSession::closeIfDone() {
  if (!NoMoreRequests || !Pending.empty() || Writing || !OutputBuffer.empty())
    return;
  // If received bytes are unread when a socket is closed, the connection is
  // reset, and the caller may lose the responses. So they are read and dropped
  // until the caller closes.
  Lingering = true;
  ErrorCode Error;
  Socket.shutdown(TcpSocket::shutdown_send, Error);
  if (Error) {
    close();
    return;
  }
  armTimer(LingerTimeout);
  read();
}

bool HttpSession::hasUnfinishedWork() const {
  const bool Unsent = Writing || !OutputBuffer.empty();
  return !Lingering && (!Pending.empty() || Unsent || hasPartialRequest());
}

void HttpSession::close() {
  if (Closed)
    return;
  Closed = true;
  const std::shared_ptr<HttpSession> Self = shared_from_this();
  ErrorCode Ignored;
  Socket.shutdown(TcpSocket::shutdown_both, Ignored);
  Socket.close(Ignored);
  Timer.cancel();
  for (const std::shared_ptr<HttpExchange> &Exchange : Pending)
    if (!Exchange->Answered && Exchange->DisconnectHandler)
      Exchange->DisconnectHandler();
  Pending.clear();
  BodyShare.reset();
  Server->Sessions.erase(Self);
}

} // namespace camphorpin::detail
