#include "LoopbackPorts.h"

#include <arpa/inet.h>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <set>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace camphorpin::test {

namespace {

/// \returns a port of \p Ip that is free at the moment.
int offeredPort(const std::string &Ip) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  ::inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  socklen_t Size = sizeof Address;
  sockaddr *Generic = reinterpret_cast<sockaddr *>(&Address);
  const bool Bound = ::bind(Socket, Generic, Size) == 0 &&
                     ::getsockname(Socket, Generic, &Size) == 0;
  ::close(Socket);
  if (!Bound) {
    std::perror(Ip.c_str());
    std::exit(1);
  }
  return ntohs(Address.sin_port);
}

} // namespace

std::string loopbackIp(int Host) {
  const int Pid = ::getpid();
  return "127." + std::to_string(64 + (Pid >> 8) % 128) + "." +
         std::to_string(Pid & 0xFF) + "." + std::to_string(Host + 1);
}

int freePort(const std::string &Ip) {
  static std::mutex Mutex;
  static std::set<std::pair<std::string, int>> Given;
  const std::lock_guard<std::mutex> Lock(Mutex);
  for (;;) {
    const int Port = offeredPort(Ip);
    if (Given.emplace(Ip, Port).second)
      return Port;
  }
}

} // namespace camphorpin::test
