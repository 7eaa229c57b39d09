#ifndef CAMPHORPIN_SRC_GATEWAY_HTTPSESSION_H
#define CAMPHORPIN_SRC_GATEWAY_HTTPSESSION_H

#include "camphorpin/src/Gateway/AsyncHttpServer.h"
#include "camphorpin/src/Gateway/OutputQueue.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace camphorpin::detail {

/// \class HttpSession
/// \brief One connection of an AsyncHttpServer.
class HttpSession final : public std::enable_shared_from_this<HttpSession> {
public:
  using TimePoint = std::chrono::steady_clock::time_point;

  HttpSession(TcpSocket Socket, AsyncHttpServer &Server);

  void start();
  void close();

  /// Sends the ready responses at the front of the queue.
  void flush();

  /// \returns true if a request is incomplete or unanswered, or a response has
  /// not been sent in full.
  bool hasUnfinishedWork() const;

  /// \returns true if nothing has arrived since the last response, also no
  /// bytes that are not read yet.
  bool isIdle() const;

  /// \returns true if the last response has been sent, and the caller has not
  /// closed the connection.
  bool isLingering() const { return Lingering; }

  /// \returns since when the connection has been waiting for its caller: for a
  /// request, for the rest of one, or for the caller to read. Nothing while a
  /// request is handled, or while a response is being read.
  std::optional<TimePoint> waitsForCallerSince() const;

  /// \returns since when the caller has been sending or reading so slowly that
  /// the bytes held for it may be given up when the byte budget is short.
  std::optional<TimePoint> holdsBytesSince() const;

  /// \returns since when the caller has been sending a body too slowly, if its
  /// request can be refused without the loss of an answer.
  std::optional<TimePoint> receivesBodySlowlySince() const;

  /// Calls \p Reserve, which may reclaim bytes of other sessions, but not of
  /// this one.
  /// \returns the result of \p Reserve.
  bool reserve(const std::function<bool()> &Reserve);

  /// Gives up what is held for a slow caller: a request that is incomplete is
  /// refused, a response that is not read ends with the connection.
  void giveUp();

private:
  using Parser = boost::beast::http::request_parser<SharedHttpBody>;
  using ErrorCode = boost::beast::error_code;

  void read();
  void onReadable(const ErrorCode &Error);
  void onRead(std::string_view Bytes);
  void parse();
  /// \returns since when the caller has been sending a request too slowly.
  std::optional<TimePoint> receivesSlowlySince() const;
  /// \returns true if a further request may be parsed now.
  bool mayParse() const;
  /// Passes received bytes to the parser.
  /// \returns false if the request needs further bytes, or was refused.
  bool parseBytes();
  /// Hands over the request that has been parsed.
  /// \returns false if it was refused, or has to wait for earlier ones.
  bool dispatchParsed();
  /// Reserves bytes for what is being received: the input buffer, and the body.
  /// \returns false if the byte budget does not allow it.
  bool reserveInput();
  void dispatch(const std::shared_ptr<HttpExchange> &Exchange);
  void reject(const ErrorCode &Error);
  /// Answers the request that is being read, whose rest is dropped, and reads
  /// no further one.
  void rejectWith(HttpReply Reply);
  /// Drops what has been received of an incomplete request.
  void dropInput();
  /// Returns the memory of a large input buffer that is empty.
  void shrinkBuffer();
  void append(HttpExchange &Exchange);
  void write();
  void onWritten(const ErrorCode &Error, std::size_t Bytes);
  /// Closes this side of the connection if nothing is left to send.
  void closeIfDone();
  bool hasPartialRequest() const {
    return CurrentParser.has_value() || Buffer.size() > 0;
  }
  bool isReceivingBody() const {
    return CurrentParser && CurrentParser->is_header_done();
  }
  /// \returns true if the rest of the request must have arrived by now.
  bool requestIsLate(TimePoint Now) const;
  void armTimer(Duration Span);
  void onTimer();

  TcpSocket Socket;
  AsyncHttpServer *Server;
  boost::asio::steady_timer Timer;
  boost::beast::flat_buffer Buffer;
  std::optional<Parser> CurrentParser;
  /// Requests whose response has not been sent, oldest first.
  std::deque<std::shared_ptr<HttpExchange>> Pending;
  OutputQueue Output;
  /// The bytes of Buffer.
  BudgetShare Input;
  /// The bytes of Output.
  BudgetShare Unsent;
  /// When the last byte was received or sent.
  TimePoint LastActivity;
  /// When the first byte of the request that is being received arrived.
  TimePoint ReceiveStart;
  TimePoint LastReceived;
  TimePoint LastSent;
  /// Bytes of the request that is being received.
  std::size_t Received = 0;
  bool Writing = false;
  bool Reading = false;
  /// This session reserves bytes.
  bool Reserving = false;
  bool RequestTimerArmed = false;
  /// The parsed request waits until the byte budget allows its handling.
  bool AwaitsBudget = false;
  /// No further request is read; the connection is closed after the pending
  /// responses.
  bool NoMoreRequests = false;
  /// The last response has been sent; the caller has not closed yet.
  bool Lingering = false;
  /// Bytes that were read and dropped after the last response.
  std::size_t DroppedBytes = 0;
  bool Closed = false;
};

} // namespace camphorpin::detail

#endif
