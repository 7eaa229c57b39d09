#ifndef CAMPHORPIN_SRC_DAEMON_HTTPSERVER_H
#define CAMPHORPIN_SRC_DAEMON_HTTPSERVER_H

#include "camphorpin/src/Daemon/ConnectionScheduler.h"
#include "camphorpin/src/Daemon/Settings.h"
#include "camphorpin/src/Daemon/WakeSignal.h"

#include <atomic>
#include <cstddef>
#include <functional>
#include <httplib.h>
#include <memory>
#include <string>
#include <thread>

namespace camphorpin {

/// \class HttpServer
/// \brief An HTTP server that holds every connection to the limits, answers
/// bad requests with a clear status, and never loses track of where a request
/// ends.
///
/// Each request takes a thread. While others wait for one, requests whose
/// client sends or reads slowly end.
class HttpServer : private httplib::Server {
public:
  /// Handles a whole request. \p Body is the body as it was sent.
  using RequestHandler =
      std::function<void(const httplib::Request &Request, std::string &&Body,
                         httplib::Response &Response)>;

  HttpServer(const HttpLimits &Limits, RequestHandler Handler);
  ~HttpServer() override;

  /// Binds the address.
  /// \returns false if it cannot be bound.
  bool bind(const HostAddress &Address);

  /// Serves on a thread of its own and one thread for each request.
  void start();

  /// Serves the requests that have arrived, also on connections that are not
  /// accepted yet, then joins all threads.
  void stop();

  /// \returns the number of requests that are being handled.
  std::size_t handling() const { return Handling; }

private:
  /// Accepts connections until the server stops.
  void acceptAll();
  /// Accepts the connections that are open now.
  void acceptWaiting();
  bool serveOne(class HttpStream &Stream);
  void prepare(httplib::Request &Request);
  HandlerResponse handleWithoutBody(const httplib::Request &Request,
                                    httplib::Response &Response);
  void handleWithBody(const httplib::Request &Request,
                      httplib::Response &Response,
                      const httplib::ContentReader &Reader);

  const HttpLimits Limits;
  const RequestHandler Handler;
  std::atomic<bool> Stopping{false};
  std::atomic<std::size_t> Handling{0};
  int ListenSocket = -1;
  /// Wakes the thread that accepts connections.
  WakeSignal Wake;
  std::unique_ptr<ConnectionScheduler> Connections;
  std::thread Thread;
};

} // namespace camphorpin

#endif
