#ifndef CAMPHORPIN_SRC_HTTP_EVENTLOOP_H
#define CAMPHORPIN_SRC_HTTP_EVENTLOOP_H

#include "camphorpin/Core.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>
#include <string_view>

namespace camphorpin {

/// The event loop that all sockets and timers of a gateway share.
using EventLoop = boost::asio::io_context;
using TcpSocket = boost::asio::ip::tcp::socket;

namespace detail {

boost::asio::ip::tcp::endpoint endpointOf(const HostAddress &Address);

/// Disables Nagle's algorithm, and makes the kernel close a connection whose
/// peer doesn't acknowledge data within \p AckTimeout or doesn't answer
/// keep-alive probes. Failures are ignored: the connection works without these
/// options.
void setSocketOptions(TcpSocket &Socket, Duration AckTimeout);

/// \class AcceptLoop
/// \brief Accepts the connections of one listening socket.
class AcceptLoop {
public:
  AcceptLoop(EventLoop &Loop, std::function<void(TcpSocket)> OnConnection)
      : Acceptor(Loop), RetryTimer(Loop),
        OnConnection(std::move(OnConnection)) {}

  /// \returns an empty string, or the address and why it can't be used.
  std::string listen(const HostAddress &Address);

  /// Passes on the connections that wait to be accepted, then stops listening.
  void finish();

  void close();

private:
  void accept();
  /// Accepts again after a delay: without free descriptors, the error returns
  /// at once.
  void retryLater();

  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::steady_timer RetryTimer;
  std::function<void(TcpSocket)> OnConnection;
};

/// \returns \p Span as a timer duration, at least 0.
std::chrono::microseconds timerSpan(Duration Span);

} // namespace detail

} // namespace camphorpin

#endif
