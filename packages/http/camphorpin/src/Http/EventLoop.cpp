#include "camphorpin/src/Http/EventLoop.h"

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace camphorpin::detail {

namespace {

/// Time for connections to end and free their descriptors.
constexpr Duration AcceptRetryDelay = Duration::millis(100);
/// Unanswered keep-alive probes after which a connection is closed.
constexpr int KeepAliveProbes = 2;
/// Seconds between keep-alive probes.
constexpr int KeepAliveIntervalSeconds = 1;

void setOption(TcpSocket &Socket, int Level, int Name, int Value) {
  (void)::setsockopt(Socket.native_handle(), Level, Name, &Value,
                     sizeof(Value));
}

} // namespace

boost::asio::ip::tcp::endpoint endpointOf(const HostAddress &Address) {
  return {boost::asio::ip::address_v4(Address.Ip), Address.Port};
}

void setSocketOptions(TcpSocket &Socket, Duration AckTimeout) {
  setOption(Socket, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(AckTimeout.wholeMillis()));
  setOption(Socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIntervalSeconds);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
}

std::string AcceptLoop::listen(const HostAddress &Address) {
  boost::system::error_code Error;
  const boost::asio::ip::tcp::endpoint Endpoint = endpointOf(Address);
  Acceptor.open(Endpoint.protocol(), Error);
  if (!Error)
    Acceptor.set_option(boost::asio::socket_base::reuse_address(true), Error);
  if (!Error)
    Acceptor.bind(Endpoint, Error);
  if (!Error)
    Acceptor.listen(boost::asio::socket_base::max_listen_connections, Error);
  if (Error)
    return Address.toString() + ": " + Error.message();
  accept();
  return {};
}

void AcceptLoop::accept() {
  Acceptor.async_accept(
      [this](const boost::system::error_code &Error, TcpSocket Socket) {
        if (Error == boost::asio::error::operation_aborted)
          return;
        if (Error) {
          retryLater();
          return;
        }
        // Accepts the next connection even if the handler throws.
        accept();
        OnConnection(std::move(Socket));
      });
}

void AcceptLoop::retryLater() {
  RetryTimer.expires_after(timerSpan(AcceptRetryDelay));
  RetryTimer.async_wait([this](const boost::system::error_code &Error) {
    if (!Error)
      accept();
  });
}

void AcceptLoop::finish() {
  boost::system::error_code Error;
  Acceptor.non_blocking(true, Error);
  while (!Error) {
    TcpSocket Socket(Acceptor.get_executor());
    Acceptor.accept(Socket, Error);
    if (!Error)
      OnConnection(std::move(Socket));
  }
  close();
}

void AcceptLoop::close() {
  boost::system::error_code Ignored;
  Acceptor.close(Ignored);
  RetryTimer.cancel();
}

std::chrono::microseconds timerSpan(Duration Span) {
  return std::chrono::microseconds(std::max<std::int64_t>(0, Span.ticks()));
}

} // namespace camphorpin::detail
