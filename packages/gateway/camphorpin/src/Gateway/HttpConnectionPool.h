#ifndef CAMPHORPIN_SRC_GATEWAY_HTTPCONNECTIONPOOL_H
#define CAMPHORPIN_SRC_GATEWAY_HTTPCONNECTIONPOOL_H

#include "camphorpin/src/Gateway/HttpConnection.h"

#include <memory>
#include <vector>

namespace camphorpin {

/// \class HttpConnectionPool
/// \brief Idle connections to one server.
class HttpConnectionPool {
public:
  HttpConnectionPool(EventLoop &Loop, const HostAddress &Address)
      : Loop(Loop), Address(Address) {}

  /// \returns the connection that was used last, or a new one.
  std::shared_ptr<HttpConnection> acquire();

  /// \returns a new connection.
  std::shared_ptr<HttpConnection> open();

  /// Takes back a connection if it can be used again, else closes it.
  void release(const std::shared_ptr<HttpConnection> &Connection);

  /// Closes all idle connections.
  void clear();

  /// Closes those that have been idle for too long.
  void prune();

private:
  EventLoop &Loop;
  HostAddress Address;
  std::vector<std::shared_ptr<HttpConnection>> Idle;
};

} // namespace camphorpin

#endif
