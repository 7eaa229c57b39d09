#ifndef CAMPHORPIN_SRC_HTTP_HTTPCONNECTION_H
#define CAMPHORPIN_SRC_HTTP_HTTPCONNECTION_H

#include "camphorpin/src/Http/ByteBudget.h"
#include "camphorpin/src/Http/EventLoop.h"
#include "camphorpin/src/Http/HttpMessages.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpin {

/// \brief How an exchange with an HTTP server ended.
enum class ExchangeOutcome : std::uint8_t {
  /// A complete response was received.
  Complete,
  /// The connection could not be established; nothing was sent.
  NotSent,
  /// The connection ended before a complete response.
  ConnectionLost,
  /// The received bytes are not a valid response, or exceed a limit.
  Malformed,
};

/// \class ExchangeResult
/// \brief The outcome of an exchange and, if complete, its response.
struct ExchangeResult {
  ExchangeOutcome Outcome = ExchangeOutcome::ConnectionLost;
  HttpResponse Response;
};

/// \class ExchangeRequest
/// \brief A request to send on a connection.
struct ExchangeRequest {
  /// The serialized request, or what precedes Body.
  std::string Bytes;
  /// Sent after Bytes, without being copied.
  SharedBody Body;
  /// The method is HEAD, so the response has no body.
  bool IsHeadRequest = false;
  /// Expected value of the header IdHeader; empty if the response has no such
  /// header. A response with another value belongs to another request and is
  /// skipped. One without the header is malformed on a connection that carried
  /// an earlier exchange.
  std::string Id;
  /// Empty to accept any response.
  std::string_view IdHeader;
  /// Largest accepted body of the response.
  std::uint64_t MaxBodyBytes = 16U << 20U;
};

/// \class HttpConnection
/// \brief A client connection that carries one exchange at a time.
class HttpConnection final
    : public std::enable_shared_from_this<HttpConnection> {
public:
  using Handler = std::function<void(ExchangeResult)>;

  /// \param Budget counts the bytes of a response that is being received; may
  /// be null.
  HttpConnection(EventLoop &Loop, const HostAddress &Address,
                 std::shared_ptr<ByteBudget> Budget = nullptr);

  /// Sends a request; connects first if the connection is new. The handler is
  /// called once, unless close() is called first. The connection must be idle.
  void exchange(ExchangeRequest Request, Handler Done);

  /// Closes the connection without calling the handler.
  void close();

  /// \returns true if the connection was established.
  bool connected() const { return Open; }

  /// \returns true if another exchange can start.
  bool reusable() const;

  /// The server has refused the request \p Id. The connection does not carry
  /// that id again: a copy of the refusal would be taken for the response.
  void addRefusedId(std::string Id) { RefusedIds.push_back(std::move(Id)); }

  /// \returns false if the request \p Id needs another connection.
  bool mayCarry(std::string_view Id) const;

private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;
  using ErrorCode = boost::beast::error_code;
  /// \brief To which request a response belongs.
  enum class ResponseMatch : std::uint8_t {
    Expected,
    /// It is skipped, and the expected one follows.
    Other,
    /// It has no id, and the connection carried an earlier request.
    Unknown,
  };

  void connect();
  void send();
  void read();
  void onRead(const ErrorCode &Error, std::size_t Bytes);
  void parse();
  /// \param Parsed the bytes that the parser has just consumed.
  /// \returns false if the head of the response has arrived and is invalid.
  bool acceptHead(std::string_view Parsed);
  /// \brief Whether there is room for the response that is being received.
  enum class Room : std::uint8_t { Enough, Later, Never };

  /// Counts the bytes of the response that is being received. An announced
  /// length is counted at once.
  Room reserveRoom();
  /// Reads on, or waits for room in the budget.
  void continueReading();
  ResponseMatch matchOf(const HttpResponse &Response);
  void newParser();
  /// \returns the response that the parser has completed.
  HttpResponse takeResponse();
  void updateKeepAlive(const HttpResponse &Response);
  void finish(ExchangeOutcome Outcome, HttpResponse Response);

  TcpSocket Socket;
  boost::asio::ip::tcp::endpoint Endpoint;
  boost::asio::steady_timer ConnectTimer;
  boost::asio::steady_timer RoomTimer;
  boost::beast::flat_buffer Buffer;
  std::optional<Parser> CurrentParser;
  ExchangeRequest Request;
  Handler Done;
  std::chrono::steady_clock::time_point IdleUntil;
  std::shared_ptr<const ByteBudget> Budget;
  BudgetShare Held;
  std::vector<std::string> RefusedIds;
  unsigned Exchanges = 0;
  /// Responses skipped in the current exchange.
  unsigned Skipped = 0;
  bool Open = false;
  bool Closed = false;
  bool Written = false;
  /// The connection broke while the request was being written. The write took
  /// the error from the socket, so that a read then sees an orderly end.
  bool BrokenInWrite = false;
  /// The head of the response that is being received is valid.
  bool HeadAccepted = false;
  /// The headers of a chunked response. The parser adds the trailers to them,
  /// which are no part of the head (RFC 9110, 6.5.1).
  std::optional<boost::beast::http::fields> ChunkedHead;
  bool KeepAlive = true;
};

} // namespace camphorpin

#endif
