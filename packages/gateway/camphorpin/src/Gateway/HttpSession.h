#ifndef CAMPHORPIN_SRC_GATEWAY_HTTPSESSION_H
#define CAMPHORPIN_SRC_GATEWAY_HTTPSESSION_H

#include "camphorpin/src/Gateway/AsyncHttpServer.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace camphorpin::detail {

/// \class HttpSession
/// \brief One connection of an AsyncHttpServer.
class HttpSession final : public std::enable_shared_from_this<HttpSession> {
public:
  HttpSession(TcpSocket Socket, AsyncHttpServer &Server);

  void start();
  void close();

  /// Sends the ready responses at the front of the queue.
  void flush();

  /// \returns true if a request is incomplete or unanswered, or a response has
  /// not been sent in full.
  bool hasUnfinishedWork() const;

private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  using ErrorCode = boost::beast::error_code;

  void read();
  void onReadable(const ErrorCode &Error);
  void onRead(std::string_view Bytes);
  void parse();
  /// Reserves bytes for the body of the request that is being read.
  /// \returns false if the byte budget does not allow it.
  bool reserveBody();
  void dispatch(HttpRequest Request);
  void reject(const ErrorCode &Error);
  /// Answers the request that is being read, whose rest is dropped, and reads
  /// no further one.
  void rejectWith(HttpReply Reply);
  /// Updates the bytes that this connection holds of responses.
  void countUnsentBytes();
  void append(const HttpExchange &Exchange);
  void write();
  void onWritten(const ErrorCode &Error);
  /// Closes this side of the connection if nothing is left to send.
  void closeIfDone();
  bool hasPartialRequest() const {
    return CurrentParser.has_value() || Buffer.size() > 0;
  }
  void armTimer(Duration Span);
  void onTimer();

  TcpSocket Socket;
  AsyncHttpServer *Server;
  boost::asio::steady_timer Timer;
  boost::beast::flat_buffer Buffer;
  std::optional<Parser> CurrentParser;
  /// Requests whose response has not been sent, oldest first.
  std::deque<std::shared_ptr<HttpExchange>> Pending;
  /// The bytes of the body that is being read; handed over to its exchange.
  std::unique_ptr<BudgetShare> BodyShare;
  std::string OutputBuffer;
  std::string InFlight;
  /// The bytes of OutputBuffer and InFlight.
  BudgetShare Unsent;
  std::chrono::steady_clock::time_point LastActivity;
  bool Writing = false;
  bool Reading = false;
  /// No further request is read; the connection is closed after the pending
  /// responses.
  bool NoMoreRequests = false;
  /// The last response has been sent; the caller has not closed yet.
  bool Lingering = false;
  /// Bytes that were read and dropped after the last response.
  std::size_t DroppedBytes = 0;
  bool Closed = false;
  bool HeaderTimerArmed = false;
};

} // namespace camphorpin::detail

#endif
