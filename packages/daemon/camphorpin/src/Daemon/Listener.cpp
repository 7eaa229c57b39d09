#include "camphorpin/src/Daemon/Listener.h"

#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>

namespace camphorpin {

namespace {

constexpr int ListenBacklog = 512;

} // namespace

sockaddr_in toSockaddr(const HostAddress &Address) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_addr.s_addr = htonl(Address.Ip);
  Result.sin_port = htons(Address.Port);
  return Result;
}

int listenTcp(const HostAddress &Address) {
  const int Socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (Socket < 0)
    return -1;
  const int On = 1;
  ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const sockaddr_in Name = toSockaddr(Address);
  if (::bind(Socket, reinterpret_cast<const sockaddr *>(&Name), sizeof(Name)) ==
          0 &&
      ::listen(Socket, ListenBacklog) == 0)
    return Socket;
  const int Error = errno;
  ::close(Socket);
  errno = Error;
  return -1;
}

} // namespace camphorpin
