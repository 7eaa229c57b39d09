#include "camphorpin/src/Gateway/EventLoop.h"

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace camphorpin::detail {

namespace {

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

std::string openAcceptor(boost::asio::ip::tcp::acceptor &Acceptor,
                         const HostAddress &Address) {
  boost::system::error_code Error;
  const boost::asio::ip::tcp::endpoint Endpoint = endpointOf(Address);
  Acceptor.open(Endpoint.protocol(), Error);
  if (!Error)
    Acceptor.set_option(boost::asio::socket_base::reuse_address(true), Error);
  if (!Error)
    Acceptor.bind(Endpoint, Error);
  if (!Error)
    Acceptor.listen(boost::asio::socket_base::max_listen_connections, Error);
  return Error ? Address.toString() + ": " + Error.message() : std::string();
}

std::chrono::microseconds timerSpan(Duration Span) {
  return std::chrono::microseconds(std::max<std::int64_t>(0, Span.ticks()));
}

} // namespace camphorpin::detail
