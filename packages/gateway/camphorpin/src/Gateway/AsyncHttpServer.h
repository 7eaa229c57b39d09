#ifndef CAMPHORPIN_SRC_GATEWAY_ASYNCHTTPSERVER_H
#define CAMPHORPIN_SRC_GATEWAY_ASYNCHTTPSERVER_H

#include "camphorpin/src/Gateway/FleetConfiguration.h"
#include "camphorpin/src/Http/ByteBudget.h"
#include "camphorpin/src/Http/EventLoop.h"
#include "camphorpin/src/Http/HttpMessages.h"

#include <functional>
#include <limits>
#include <memory>
#include <set>
#include <string>

namespace camphorpin {

namespace detail {
class HttpSession;
} // namespace detail

/// \class HttpExchange
/// \brief A request on a server connection and its pending response.
class HttpExchange {
public:
  HttpExchange(HttpRequest Request, std::weak_ptr<detail::HttpSession> Session)
      : Request(std::move(Request)), Session(std::move(Session)) {}

  const HttpRequest &request() const { return Request; }

  /// Moves the body out of the request to avoid copying it.
  SharedBody takeBody() { return std::move(Request.body()); }

  /// Replaces what the head of the request holds of the server's byte budget by
  /// \p Bytes for its response.
  /// \returns false if the budget does not allow it.
  bool reserve(std::size_t Bytes);

  /// Sends the response once those of earlier requests on the connection have
  /// been sent. Calls after the first have no effect.
  void reply(HttpReply Response);

  /// \param Handler is called once if the caller disconnects before the
  /// response.
  void setDisconnectHandler(std::function<void()> Handler) {
    DisconnectHandler = std::move(Handler);
  }

private:
  friend class detail::HttpSession;

  HttpRequest Request;
  std::weak_ptr<detail::HttpSession> Session;
  std::function<void()> DisconnectHandler;
  bool Answered = false;
  HttpReply Response;
  /// The bytes of the request's head, and later of its response.
  std::unique_ptr<BudgetShare> Held;
};

/// \class HttpRequestHandler
/// \brief Handles the requests that a server receives.
class HttpRequestHandler {
public:
  virtual ~HttpRequestHandler() = default;
  virtual void onRequest(const std::shared_ptr<HttpExchange> &Exchange) = 0;
  /// The body of a request is not read, because the server's byte budget does
  /// not allow it.
  /// \param Head the request without its body.
  /// \returns the response, which must say that the request did not run.
  virtual HttpReply refuseBody(const HttpRequest &Head);
};

/// \class AsyncHttpServer
/// \brief An HTTP/1.1 server on one address.
///
/// Pipelined requests on one connection run concurrently; their responses are
/// sent in the order of the requests.
///
/// Clients that hold connections or bytes without using them give way to
/// others: beyond the largest number of connections the one that has been
/// waiting longest for its caller is closed, and when the byte budget is short
/// slow callers lose what is held for them.
class AsyncHttpServer final : private ByteReclaimer {
public:
  /// \param Handler must outlive the server.
  AsyncHttpServer(EventLoop &Loop, HttpRequestHandler &Handler)
      : Acceptor(Loop,
                 [this](TcpSocket Socket) { onConnection(std::move(Socket)); }),
        Handler(Handler) {}
  ~AsyncHttpServer() override;

  /// \returns an empty string, or why the address can't be used.
  std::string listen(const HostAddress &Address);

  /// Sets the limits for requests that arrive from now on.
  void setLimits(const RequestLimits &Value) { Limits = Value; }
  const RequestLimits &limits() const { return Limits; }

  /// Bounds the bytes that are held for callers over all connections. There is
  /// no bound by default. The server becomes the budget's reclaimer.
  void setByteBudget(std::shared_ptr<ByteBudget> Value);

  /// Bounds the open connections. There is no bound by default.
  void setMaxConnections(std::size_t Value) { MaxConnections = Value; }

  std::size_t connections() const { return Sessions.size(); }

  /// Closes each connection after its last pending response.
  void drain() { Draining = true; }
  bool draining() const { return Draining; }

  /// \returns true if a request has been read in part or has no response yet,
  /// or if a part of a response has not been sent.
  bool hasUnfinishedWork() const;

  /// Stops listening and closes the connections on which no request has
  /// arrived.
  /// \returns true if none is left that waits for a response.
  bool closeIdle();

  /// Stops listening and closes all connections.
  void close();

  HttpRequestHandler &handler() { return Handler; }

private:
  friend class detail::HttpSession;

  void onConnection(TcpSocket Socket);
  /// Closes the connection that has been waiting longest for its caller.
  /// \returns false if there is none.
  bool closeLongestWaiting();
  bool reclaim() override;

  detail::AcceptLoop Acceptor;
  HttpRequestHandler &Handler;
  RequestLimits Limits;
  std::shared_ptr<ByteBudget> Budget;
  std::size_t MaxConnections = std::numeric_limits<std::size_t>::max();
  bool Draining = false;
  /// Connections on which an answer is being sent are not given up.
  bool KeepsAnswers = false;
  std::set<std::shared_ptr<detail::HttpSession>> Sessions;
};

} // namespace camphorpin

#endif
