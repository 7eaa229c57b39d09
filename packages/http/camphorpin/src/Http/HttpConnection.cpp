#include "camphorpin/src/Http/HttpConnection.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <cassert>
#include <charconv>

namespace camphorpin {

namespace {

namespace http = boost::beast::http;

constexpr std::size_t ReadBytes = 16384;
/// Largest size of the head of a response. The parser also needs this much for
/// the extensions of a chunk and for trailers, which it does not limit itself.
constexpr std::uint32_t MaxHeadBytes = 64U << 10U;
/// Responses that may be skipped before the expected one: interim responses
/// (1xx) and late ones to earlier requests.
constexpr unsigned MaxSkippedResponses = 16;
/// Refused ids after which a connection is replaced, so that the list stays
/// short.
constexpr std::size_t MaxRefusedIds = 64;
/// Servers are on the same host or near it and accept without delay.
constexpr Duration ConnectTimeout = Duration::seconds(1);
/// Interval at which a response that has to wait looks for room in the budget.
constexpr Duration RoomCheckInterval = Duration::millis(5);
/// How long sent bytes may stay unacknowledged.
constexpr Duration AckTimeout = Duration::seconds(3);
/// Idle timeout for reuse of a connection if the server sends none.
constexpr std::chrono::milliseconds DefaultIdleTimeout(2500);
/// Fraction of the server's keep-alive timeout after which a connection is not
/// reused, because the server may already be closing it.
constexpr double IdleTimeoutFraction = 0.6;
/// Longest keep-alive timeout that a server's header is taken for, in seconds.
constexpr std::uint32_t MaxKeepAliveSeconds = 3600;

} // namespace

HttpConnection::HttpConnection(EventLoop &Loop, const HostAddress &Address,
                               std::shared_ptr<ByteBudget> Budget)
    : Socket(Loop), Endpoint(detail::endpointOf(Address)), ConnectTimer(Loop),
      RoomTimer(Loop), Budget(Budget), Held(std::move(Budget)) {}

bool HttpConnection::reusable() const {
  return Open && !Closed && !Done && KeepAlive &&
         RefusedIds.size() < MaxRefusedIds &&
         std::chrono::steady_clock::now() < IdleUntil;
}

bool HttpConnection::mayCarry(std::string_view Id) const {
  return std::find(RefusedIds.begin(), RefusedIds.end(), Id) ==
         RefusedIds.end();
}

void HttpConnection::exchange(ExchangeRequest Value, Handler Handler) {
  assert(!Done && !Closed && "a connection carries one exchange at a time");
  Request = std::move(Value);
  Done = std::move(Handler);
  Written = false;
  Skipped = 0;
  newParser();
  if (Open)
    send();
  else
    connect();
}

void HttpConnection::connect() {
  ConnectTimer.expires_after(detail::timerSpan(ConnectTimeout));
  ConnectTimer.async_wait([Self = shared_from_this()](const ErrorCode &Error) {
    if (!Error && !Self->Open)
      Self->finish(ExchangeOutcome::NotSent, {});
  });
  Socket.async_connect(Endpoint,
                       [Self = shared_from_this()](const ErrorCode &Error) {
                         if (Self->Closed)
                           return;
                         Self->ConnectTimer.cancel();
                         if (Error) {
                           Self->finish(ExchangeOutcome::NotSent, {});
                           return;
                         }
                         Self->Open = true;
                         detail::setSocketOptions(Self->Socket, AckTimeout);
                         Self->read();
                         Self->send();
                       });
}

void HttpConnection::send() {
  ++Exchanges;
  std::vector<boost::asio::const_buffer> Parts = {
      boost::asio::buffer(Request.Bytes)};
  for (const std::string_view Block : Request.Body.blocks())
    Parts.push_back(boost::asio::buffer(Block));
  boost::asio::async_write(
      Socket, Parts,
      [Self = shared_from_this()](const ErrorCode &Error, std::size_t) {
        if (Self->Closed)
          return;
        Self->Written = !Error;
        // With EPIPE, the server had ended its side in order before.
        Self->BrokenInWrite = Error && Error != boost::asio::error::broken_pipe;
        // The pending read ends the exchange, after it has received what the
        // server sent before.
      });
}

void HttpConnection::newParser() {
  HeadAccepted = false;
  ChunkedHead.reset();
  CurrentParser.emplace();
  CurrentParser->header_limit(MaxHeadBytes);
  CurrentParser->body_limit(Request.MaxBodyBytes);
  if (Request.IsHeadRequest)
    CurrentParser->skip(true);
}

void HttpConnection::read() {
  Socket.async_read_some(
      Buffer.prepare(ReadBytes),
      [Self = shared_from_this()](const ErrorCode &Error, std::size_t Bytes) {
        Self->onRead(Error, Bytes);
      });
}

void HttpConnection::onRead(const ErrorCode &Error, std::size_t Bytes) {
  if (Closed)
    return;
  if (!Error) {
    Buffer.commit(Bytes);
    if (!Done) {
      // Unsolicited response.
      close();
      return;
    }
    try {
      parse();
      continueReading();
    } catch (...) {
      // Nothing is read any more, so the connection ends.
      close();
      throw;
    }
    return;
  }
  KeepAlive = false;
  if (!Done) {
    close();
    return;
  }
  const bool OrderlyEnd = Error == boost::asio::error::eof && !BrokenInWrite;
  if (OrderlyEnd && CurrentParser->got_some()) {
    ErrorCode EndError;
    CurrentParser->put_eof(EndError);
    if (!EndError && CurrentParser->is_done() &&
        matchOf(CurrentParser->get()) == ResponseMatch::Expected) {
      finish(ExchangeOutcome::Complete, CurrentParser->release());
      return;
    }
  }
  finish(ExchangeOutcome::ConnectionLost, {});
}

void HttpConnection::parse() {
  while (Done && detail::canParse(*CurrentParser, Buffer.size())) {
    ErrorCode Error;
    const std::size_t Used = CurrentParser->put(Buffer.data(), Error);
    const std::string_view Parsed(
        static_cast<const char *>(Buffer.data().data()), Used);
    const bool HeadValid = acceptHead(Parsed);
    Buffer.consume(Used);
    if (Error == http::error::need_more)
      return;
    if (Error || !HeadValid) {
      finish(ExchangeOutcome::Malformed, {});
      return;
    }
    if (!CurrentParser->is_done()) {
      if (Used == 0)
        return;
      continue;
    }
    HttpResponse Response = takeResponse();
    const ResponseMatch Match = matchOf(Response);
    if (Match == ResponseMatch::Other && ++Skipped <= MaxSkippedResponses) {
      newParser();
      continue;
    }
    if (Match != ResponseMatch::Expected) {
      finish(ExchangeOutcome::Malformed, {});
      return;
    }
    updateKeepAlive(Response);
    // Surplus bytes belong to no request, so the connection can't be reused.
    if (Buffer.size() > 0)
      KeepAlive = false;
    finish(ExchangeOutcome::Complete, std::move(Response));
  }
}

bool HttpConnection::acceptHead(std::string_view Parsed) {
  if (HeadAccepted || !CurrentParser->is_header_done())
    return true;
  // The parser reads a head only when all of it has arrived.
  HeadAccepted = !detail::hasFoldedLine(Parsed) &&
                 detail::isValidHead(CurrentParser->get());
  if (CurrentParser->chunked())
    ChunkedHead = CurrentParser->get();
  return HeadAccepted;
}

HttpResponse HttpConnection::takeResponse() {
  HttpResponse Result = CurrentParser->release();
  if (ChunkedHead)
    static_cast<http::fields &>(Result) = *std::move(ChunkedHead);
  return Result;
}

HttpConnection::Room HttpConnection::reserveRoom() {
  if (!Done)
    return Room::Enough;
  if (Buffer.size() > MaxHeadBytes)
    return Room::Never;
  const std::size_t Received =
      Buffer.size() + CurrentParser->get().body().size();
  std::size_t Announced = 0;
  if (CurrentParser->is_header_done() && !Request.IsHeadRequest)
    Announced = static_cast<std::size_t>(
        CurrentParser->content_length().value_or(std::uint64_t(0)));
  if (Held.resize(std::max(Received, Announced)))
    return Room::Enough;
  // Of a response that waits, only the first bytes take memory. One without a
  // length could wait for others that wait as well.
  const bool MayFit =
      Announced >= Received && Announced <= Budget->largestMessage();
  return MayFit ? Room::Later : Room::Never;
}

void HttpConnection::continueReading() {
  if (Closed)
    return;
  switch (reserveRoom()) {
  case Room::Enough:
    read();
    return;
  case Room::Never:
    finish(ExchangeOutcome::Malformed, {});
    return;
  case Room::Later:
    RoomTimer.expires_after(detail::timerSpan(RoomCheckInterval));
    RoomTimer.async_wait([Self = shared_from_this()](const ErrorCode &Error) {
      if (!Error)
        Self->continueReading();
    });
    return;
  }
}

HttpConnection::ResponseMatch
HttpConnection::matchOf(const HttpResponse &Response) {
  if (Response.result_int() / 100 == 1)
    return ResponseMatch::Other;
  if (Request.IdHeader.empty())
    return ResponseMatch::Expected;
  const std::string_view Id = detail::headerOf(Response, Request.IdHeader);
  if (Id == Request.Id)
    return ResponseMatch::Expected;
  if (Id.empty())
    return Exchanges == 1 ? ResponseMatch::Expected : ResponseMatch::Unknown;
  // A duplicate response to an earlier request; the expected one follows.
  KeepAlive = false;
  return ResponseMatch::Other;
}

void HttpConnection::updateKeepAlive(const HttpResponse &Response) {
  KeepAlive = KeepAlive && Response.keep_alive() && Written;
  std::chrono::milliseconds Idle = DefaultIdleTimeout;
  const std::string_view KeepAliveHeader =
      detail::headerOf(Response, "Keep-Alive");
  const std::size_t Start = KeepAliveHeader.find("timeout=");
  if (Start != std::string_view::npos) {
    std::uint32_t Seconds = 0;
    const char *First = KeepAliveHeader.data() + Start + 8;
    std::from_chars(First, KeepAliveHeader.data() + KeepAliveHeader.size(),
                    Seconds);
    Seconds = std::min(Seconds, MaxKeepAliveSeconds);
    Idle = std::chrono::milliseconds(
        static_cast<std::int64_t>(Seconds * 1000 * IdleTimeoutFraction));
  }
  IdleUntil = std::chrono::steady_clock::now() + Idle;
}

void HttpConnection::finish(ExchangeOutcome Outcome, HttpResponse Response) {
  ExchangeResult Result;
  Result.Outcome = Outcome;
  Result.Response = std::move(Response);
  const Handler Receiver = std::move(Done);
  Done = nullptr;
  Held.clear();
  if (Outcome == ExchangeOutcome::Complete && Written)
    Request = ExchangeRequest();
  if (Outcome != ExchangeOutcome::Complete || !KeepAlive)
    close();
  Receiver(std::move(Result));
}

void HttpConnection::close() {
  if (Closed)
    return;
  Closed = true;
  Done = nullptr;
  Held.clear();
  ErrorCode Ignored;
  ConnectTimer.cancel();
  RoomTimer.cancel();
  Socket.close(Ignored);
}

} // namespace camphorpin
