#ifndef CAMPHORPIN_SRC_HTTP_HTTPCONNECTIONPOOL_H
#define CAMPHORPIN_SRC_HTTP_HTTPCONNECTIONPOOL_H

#include "camphorpin/src/Http/HttpConnection.h"

#include <memory>
#include <vector>

namespace camphorpin {

/// \class HttpConnectionPool
/// \brief Pool of idle connections to one server.
class HttpConnectionPool {
public:
  /// \param Budget counts the bytes of responses in transit; may be null.
  HttpConnectionPool(EventLoop &Loop, const HostAddress &Address,
                     std::shared_ptr<ByteBudget> Budget = nullptr)
      : Loop(Loop), Address(Address), Budget(std::move(Budget)) {}

  /// \param Id the id of the request to send; empty if it has none.
  /// \returns the most recently used idle connection that may carry the
  /// request, or a new one.
  std::shared_ptr<HttpConnection> acquire(std::string_view Id = {});

  /// \returns a new connection.
  std::shared_ptr<HttpConnection> open();

  /// Returns a connection to the pool if it is reusable, otherwise closes it.
  void release(const std::shared_ptr<HttpConnection> &Connection);

  /// Closes all idle connections.
  void clear();

  /// Closes connections that are no longer reusable.
  void prune();

private:
  EventLoop &Loop;
  HostAddress Address;
  std::shared_ptr<ByteBudget> Budget;
  std::vector<std::shared_ptr<HttpConnection>> Idle;
};

} // namespace camphorpin

#endif
