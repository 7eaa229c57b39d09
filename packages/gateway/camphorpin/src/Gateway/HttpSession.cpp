#include "camphorpin/src/Gateway/HttpSession.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace camphorpin::detail {

namespace {

namespace http = boost::beast::http;
using std::chrono::steady_clock;

/// Limit of concurrent requests on one connection.
constexpr std::size_t MaxPipelinedRequests = 32;
/// Largest head of a request, whatever the configured limit.
constexpr std::size_t MaxHeadBytes = 1U << 20U;
/// Size of one read from the socket.
constexpr std::size_t ReadBytes = 16384;
/// Received bytes that are not parsed yet above which nothing is read.
constexpr std::size_t MaxUnparsedBytes = 16384;
/// Largest input buffer that a connection keeps while it is empty, because many
/// connections are idle.
constexpr std::size_t MaxIdleBufferBytes = 2048;
/// Unsent bytes above which no further request is parsed, to bound the memory
/// that a slow reader uses.
constexpr std::size_t MaxUnsentBytes = 1U << 20U;
/// Bytes that a node holds for each byte of a request's head while it passes
/// the request on: parsed, for a retry on another node, in the call, encoded,
/// and what the allocator adds.
constexpr std::size_t HeadCopies = 6;
/// How long a connection that this side has closed waits for the caller, or for
/// further bytes of a body that is dropped.
constexpr Duration LingerTimeout = Duration::seconds(1);
/// How long sent bytes may stay unacknowledged.
constexpr Duration AckTimeout = Duration::seconds(10);
/// How long a caller may take none of the bytes of a response.
constexpr Duration UnreadTimeout = Duration::seconds(30);
/// Time in which a whole body must arrive, as the timeout of a request that
/// states none.
constexpr Duration BodyTimeout = Duration::seconds(30);
/// Time after which a caller that sends or reads slowly counts as slow.
constexpr Duration SlowAfter = Duration::seconds(1);
/// Interval of the checks of an incomplete request, as a fraction of the header
/// timeout.
constexpr double RequestCheckFraction = 0.25;
/// Average rate below which a caller sends slowly.
constexpr double SlowBytesPerSecond = 131072;

Duration elapsed(steady_clock::time_point Since, steady_clock::time_point Now) {
  return Duration::ticks(
      std::chrono::duration_cast<std::chrono::microseconds>(Now - Since)
          .count());
}

bool mayHaveBody(const HttpExchange &Exchange, unsigned Status) {
  return Exchange.request().method() != http::verb::head && Status != 204 &&
         Status != 304;
}

} // namespace

HttpSession::HttpSession(TcpSocket Socket, AsyncHttpServer &Server)
    : Socket(std::move(Socket)), Server(&Server),
      Timer(this->Socket.get_executor()), Input(Server.Budget),
      Unsent(Server.Budget), LastActivity(steady_clock::now()),
      ReceiveStart(LastActivity), LastReceived(LastActivity),
      LastSent(LastActivity) {}

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

bool HttpSession::requestIsLate(TimePoint Now) const {
  // A request that waits for earlier ones is not the caller's to hasten.
  if (!hasPartialRequest() || !mayParse())
    return false;
  const Duration HeaderTimeout = Server->Limits.HeaderTimeout;
  if (!isReceivingBody())
    return elapsed(ReceiveStart, Now) >= HeaderTimeout;
  return elapsed(LastReceived, Now) >= HeaderTimeout ||
         elapsed(ReceiveStart, Now) >= std::max(BodyTimeout, HeaderTimeout);
}

void HttpSession::onTimer() {
  if (Lingering) {
    close();
    return;
  }
  const TimePoint Now = steady_clock::now();
  if (requestIsLate(Now)) {
    rejectWith(textReply(408, "request incomplete"));
    // Lingering has a timer of its own.
    if (!Closed && !Lingering)
      armTimer(UnreadTimeout);
    return;
  }
  if (Writing && elapsed(LastSent, Now) >= UnreadTimeout) {
    close();
    return;
  }
  const Duration IdleLeft =
      Server->Limits.IdleTimeout - elapsed(LastActivity, Now);
  const bool Idle = !hasPartialRequest() && Pending.empty() && !Writing;
  if (Idle && IdleLeft <= Duration()) {
    close();
    return;
  }
  Duration Bound = Server->Limits.IdleTimeout;
  if (Idle)
    Bound = IdleLeft;
  else if (hasPartialRequest())
    Bound = Server->Limits.HeaderTimeout * RequestCheckFraction;
  armTimer(std::max(Bound, Duration::millis(100)));
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
  // would go wrong when earlier bytes are consumed, and take memory on each
  // idle connection.
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
  if (!hasPartialRequest())
    ReceiveStart = steady_clock::now();
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
  LastActivity = LastReceived = steady_clock::now();
  parse();
  // Reading continues while requests run, to detect that the caller
  // disconnects.
  if (!Closed && Buffer.size() < MaxUnparsedBytes)
    read();
}

bool HttpSession::mayParse() const {
  return !Closed && !NoMoreRequests && Pending.size() < MaxPipelinedRequests &&
         Output.size() < MaxUnsentBytes && (!AwaitsBudget || Pending.empty());
}

void HttpSession::parse() {
  while (mayParse()) {
    const bool Parsed = CurrentParser && CurrentParser->is_done();
    if (!Parsed && !parseBytes())
      break;
    if (CurrentParser->is_done() && !dispatchParsed())
      break;
  }
  if (NoMoreRequests)
    Buffer.consume(Buffer.size());
  shrinkBuffer();
  if (hasPartialRequest() && !RequestTimerArmed && !NoMoreRequests)
    armTimer(Server->Limits.HeaderTimeout);
  RequestTimerArmed = hasPartialRequest();
}

bool HttpSession::parseBytes() {
  if (Buffer.size() == 0 ||
      (CurrentParser && !canParse(*CurrentParser, Buffer.size())))
    return false;
  if (!CurrentParser) {
    CurrentParser.emplace();
    CurrentParser->eager(true);
    CurrentParser->header_limit(static_cast<std::uint32_t>(
        std::min<std::size_t>(Server->Limits.HeaderBytes, MaxHeadBytes)));
    CurrentParser->body_limit(Server->Limits.BodyBytes);
    CurrentParser->get().body() = SharedBody(Server->Budget);
    Received = 0;
  }
  ErrorCode Error;
  const std::size_t Used = CurrentParser->put(Buffer.data(), Error);
  Buffer.consume(Used);
  Received += Used;
  if ((!Error || Error == http::error::need_more) && !reserveInput()) {
    rejectWith(Server->Handler.refuseBody(CurrentParser->get()));
    return false;
  }
  if (Error && Error != http::error::need_more) {
    reject(Error);
    return false;
  }
  return !Error && (Used > 0 || CurrentParser->is_done());
}

bool HttpSession::reserveInput() {
  if (!Server->Budget)
    return true;
  const std::size_t Capacity = Buffer.capacity();
  const std::size_t Buffered = Capacity > MaxIdleBufferBytes ? Capacity : 0;
  if (!reserve([&] { return Input.resize(Buffered); }))
    return false;
  if (!isReceivingBody())
    return true;
  // What is announced is reserved at once, so that a body which is admitted is
  // received to its end.
  SharedBody &Body = CurrentParser->get().body();
  const std::uint64_t Announced =
      CurrentParser->content_length().value_or(std::uint64_t(0));
  const std::size_t Bytes = std::max<std::size_t>(Announced, Body.size());
  // A large body that does not fit is refused before it runs. That costs its
  // caller less than the loss of an answer would cost another.
  Server->KeepsAnswers = !Server->Budget->isSmall(Bytes);
  const bool Result = reserve([&] { return Body.reserve(Bytes); });
  Server->KeepsAnswers = false;
  return Result;
}

bool HttpSession::reserve(const std::function<bool()> &Reserve) {
  Reserving = true;
  const bool Result = Reserve();
  Reserving = false;
  return Result;
}

bool HttpSession::dispatchParsed() {
  const std::size_t BodyBytes = CurrentParser->get().body().size();
  const std::size_t HeadBytes =
      std::min(Received - std::min(Received, BodyBytes),
               Server->Limits.HeaderBytes) *
      HeadCopies;
  auto Head = std::make_unique<BudgetShare>(Server->Budget);
  AwaitsBudget = !reserve([&] { return Head->resize(HeadBytes); });
  if (AwaitsBudget) {
    if (Pending.empty())
      rejectWith(Server->Handler.refuseBody(CurrentParser->get()));
    return false;
  }
  HttpRequest Request = CurrentParser->release();
  CurrentParser.reset();
  ReceiveStart = steady_clock::now();
  if (hasUnsupportedTransferCoding(Request)) {
    reject(http::make_error_code(http::error::bad_transfer_encoding));
    return false;
  }
  NoMoreRequests = !Request.keep_alive();
  const auto Exchange = std::make_shared<HttpExchange>(
      std::move(Request), std::weak_ptr<HttpSession>(weak_from_this()));
  Exchange->Held = std::move(Head);
  dispatch(Exchange);
  return true;
}

void HttpSession::dispatch(const std::shared_ptr<HttpExchange> &Exchange) {
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
  dropInput();
  const auto Exchange = std::make_shared<HttpExchange>(
      HttpRequest(), std::weak_ptr<HttpSession>(weak_from_this()));
  Pending.push_back(Exchange);
  Exchange->reply(std::move(Reply));
}

void HttpSession::dropInput() {
  CurrentParser.reset();
  Buffer.consume(Buffer.size());
  shrinkBuffer();
}

void HttpSession::shrinkBuffer() {
  if (Buffer.size() > 0 || Buffer.capacity() <= MaxIdleBufferBytes)
    return;
  Buffer.shrink_to_fit();
  Input.clear();
}

void HttpSession::append(HttpExchange &Exchange) {
  HttpReply &Reply = Exchange.Response;
  const bool HasBody = mayHaveBody(Exchange, Reply.Status);
  std::string Head = std::move(Reply.Head);
  if (HasBody)
    Head += headerLine("Content-Length", std::to_string(Reply.Body.size()));
  // Only the last response carries Connection: close, because a client treats
  // requests pipelined after such a response as not processed.
  if ((NoMoreRequests || Server->Draining) && Pending.size() == 1) {
    NoMoreRequests = true;
    Head += "Connection: close\r\n";
  }
  Head += "\r\n";
  Output.push(std::move(Head));
  if (HasBody)
    Output.push(std::move(Reply.Body));
}

void HttpSession::flush() {
  if (Closed)
    return;
  while (!Pending.empty() && Pending.front()->Answered) {
    append(*Pending.front());
    // The bytes are counted with those of Output from here on.
    Pending.front()->Held.reset();
    Pending.front()->Request.body() = SharedBody();
    Pending.pop_front();
  }
  Unsent.set(Output.size());
  write();
}

void HttpSession::write() {
  if (Writing || Closed || Output.empty())
    return;
  Writing = true;
  LastSent = steady_clock::now();
  Socket.async_write_some(
      Output.front(),
      [Self = shared_from_this()](const ErrorCode &Error, std::size_t Bytes) {
        Self->onWritten(Error, Bytes);
      });
}

void HttpSession::onWritten(const ErrorCode &Error, std::size_t Bytes) {
  Writing = false;
  Output.consume(Bytes);
  Unsent.set(Output.size());
  if (Closed)
    return;
  if (Error) {
    close();
    return;
  }
  LastActivity = steady_clock::now();
  write();
  closeIfDone();
  if (Closed || Lingering)
    return;
  parse();
  if (!Closed && Buffer.size() < MaxUnparsedBytes)
    read();
}

void HttpSession::closeIfDone() {
  if (!NoMoreRequests || !Pending.empty() || Writing || !Output.empty())
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
  return !Lingering &&
         (!Pending.empty() || !Output.empty() || hasPartialRequest());
}

bool HttpSession::isIdle() const {
  ErrorCode Ignored;
  return !Lingering && !hasUnfinishedWork() && Socket.available(Ignored) == 0;
}

std::optional<HttpSession::TimePoint> HttpSession::waitsForCallerSince() const {
  if (Writing)
    return holdsBytesSince();
  if (!Pending.empty())
    return std::nullopt;
  return hasPartialRequest() ? ReceiveStart : LastActivity;
}

std::optional<HttpSession::TimePoint>
HttpSession::receivesBodySlowlySince() const {
  if (Writing || !isReceivingBody())
    return std::nullopt;
  return receivesSlowlySince();
}

std::optional<HttpSession::TimePoint> HttpSession::holdsBytesSince() const {
  if (Reserving)
    return std::nullopt;
  const TimePoint Now = steady_clock::now();
  if (Writing && elapsed(LastSent, Now) >= SlowAfter)
    return LastSent;
  return receivesSlowlySince();
}

std::optional<HttpSession::TimePoint> HttpSession::receivesSlowlySince() const {
  if (Reserving || !hasPartialRequest() || !mayParse())
    return std::nullopt;
  const TimePoint Now = steady_clock::now();
  const Duration Receiving = elapsed(ReceiveStart, Now);
  const double Seconds = Receiving.toMillis() / 1000.0;
  const bool Slow =
      elapsed(LastReceived, Now) >= SlowAfter ||
      (Receiving >= SlowAfter &&
       static_cast<double>(Received) < SlowBytesPerSecond * Seconds);
  return Slow ? std::optional<TimePoint>(ReceiveStart) : std::nullopt;
}

void HttpSession::giveUp() {
  if (!Writing && isReceivingBody())
    rejectWith(Server->Handler.refuseBody(CurrentParser->get()));
  else
    close();
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
  // The handlers run later, because a connection may be closed while one of its
  // requests is handled, to make room for another.
  for (const std::shared_ptr<HttpExchange> &Exchange : Pending)
    if (!Exchange->Answered && Exchange->DisconnectHandler)
      boost::asio::post(Socket.get_executor(),
                        std::move(Exchange->DisconnectHandler));
  Pending.clear();
  CurrentParser.reset();
  Input.clear();
  Unsent.clear();
  Server->Sessions.erase(Self);
}

} // namespace camphorpin::detail
