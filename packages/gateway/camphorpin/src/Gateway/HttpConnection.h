#ifndef CAMPHORPIN_SRC_GATEWAY_HTTPCONNECTION_H
#define CAMPHORPIN_SRC_GATEWAY_HTTPCONNECTION_H

#include "camphorpin/src/Gateway/EventLoop.h"
#include "camphorpin/src/Gateway/HttpMessages.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace camphorpin {

/// \brief How an exchange with an HTTP server ended.
enum class ExchangeOutcome : std::uint8_t {
  /// A complete response was received.
  Complete,
  /// The connection could not be established; nothing was sent.
  NotSent,
  /// The connection ended before a complete response.
  ConnectionLost,
  /// The received bytes are not a valid response.
  Malformed,
};

/// \class ExchangeResult
/// \brief The outcome of an exchange and, if complete, its response.
struct ExchangeResult {
  ExchangeOutcome Outcome = ExchangeOutcome::ConnectionLost;
  HttpResponse Response;
  /// The connection had carried an earlier exchange, and no byte of a response
  /// was received: the server has probably closed it while it was idle.
  bool Stale = false;
};

/// \class ExchangeRequest
/// \brief A request to send on a connection.
struct ExchangeRequest {
  /// The serialized request.
  std::string Bytes;
  /// The method is HEAD, so the response has no body.
  bool IsHeadRequest = false;
  /// Expected value of the header IdHeader. A response with another value
  /// belongs to another request and is skipped. Empty to accept any response.
  std::string Id;
  std::string_view IdHeader;
};

/// \class HttpConnection
/// \brief A client connection that carries one exchange at a time.
class HttpConnection final
    : public std::enable_shared_from_this<HttpConnection> {
public:
  using Handler = std::function<void(ExchangeResult)>;

  HttpConnection(EventLoop &Loop, const HostAddress &Address);

  /// Sends a request; connects first if the connection is new. The handler is
  /// called once, unless close() is called first. The connection must be idle.
  void exchange(ExchangeRequest Request, Handler Done);

  /// Closes the connection without calling the handler.
  void close();

  /// \returns true if another exchange can start.
  bool reusable() const;

private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;
  using ErrorCode = boost::beast::error_code;

  void connect();
  void send();
  void read();
  void onRead(const ErrorCode &Error, std::size_t Bytes);
  void parse();
  /// \returns false if the response must be skipped.
  bool acceptResponse(const HttpResponse &Response);
  void newParser();
  void updateKeepAlive(const HttpResponse &Response);
  void finish(ExchangeOutcome Outcome, HttpResponse Response);

  TcpSocket Socket;
  boost::asio::ip::tcp::endpoint Endpoint;
  boost::asio::steady_timer ConnectTimer;
  boost::beast::flat_buffer Buffer;
  std::optional<Parser> CurrentParser;
  ExchangeRequest Request;
  Handler Done;
  std::chrono::steady_clock::time_point IdleUntil;
  unsigned Exchanges = 0;
  bool Open = false;
  bool Closed = false;
  bool Written = false;
  bool KeepAlive = true;
};

} // namespace camphorpin

#endif
