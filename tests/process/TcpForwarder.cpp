#include "TcpForwarder.h"

#include <arpa/inet.h>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace camphorpin::process {

namespace {

constexpr int PollMillis = 50;
constexpr int Backlog = 256;

sockaddr_in addressOf(const std::string &Ip, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  ::inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

bool isReadable(int Socket, int Millis) {
  pollfd Entry{Socket, POLLIN, 0};
  return ::poll(&Entry, 1, Millis) > 0;
}

/// Copies what can be read from \p From to \p To.
/// \returns false at the end of the connection.
bool copyOnce(int From, int To) {
  std::array<char, 65536> Buffer;
  const ssize_t Size = ::recv(From, Buffer.data(), Buffer.size(), 0);
  if (Size <= 0)
    return false;
  for (ssize_t Sent = 0; Sent < Size;) {
    const ssize_t Part =
        ::send(To, Buffer.data() + Sent, static_cast<std::size_t>(Size - Sent),
               MSG_NOSIGNAL);
    if (Part <= 0)
      return false;
    Sent += Part;
  }
  return true;
}

} // namespace

TcpForwarder::TcpForwarder(const std::string &Ip, const std::string &TargetIp,
                           int TargetPort)
    : TargetIp(TargetIp), TargetPort(TargetPort) {
  Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address = addressOf(Ip, 0);
  socklen_t Size = sizeof Address;
  if (::bind(Listener, reinterpret_cast<sockaddr *>(&Address), Size) != 0 ||
      ::listen(Listener, Backlog) != 0) {
    std::perror(Ip.c_str());
    std::exit(1);
  }
  ::getsockname(Listener, reinterpret_cast<sockaddr *>(&Address), &Size);
  Port = ntohs(Address.sin_port);
  Acceptor = std::thread([this] { acceptLoop(); });
}

TcpForwarder::~TcpForwarder() {
  Stopping = true;
  Acceptor.join();
  for (Link &Value : Links)
    Value.Pump.join();
  ::close(Listener);
}

void TcpForwarder::silenceOpenConnections() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  for (Link &Value : Links)
    Value.Silent = true;
}

std::size_t TcpForwarder::bytesOnSilentConnections() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::size_t Result = 0;
  for (const Link &Value : Links) {
    int Unread = 0;
    if (Value.Silent && ::ioctl(Value.Near, FIONREAD, &Unread) == 0)
      Result += static_cast<std::size_t>(Unread);
  }
  return Result;
}

void TcpForwarder::acceptLoop() {
  while (!Stopping) {
    if (!isReadable(Listener, PollMillis))
      continue;
    const int Near = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    const int Far = connectToTarget();
    if (Near < 0 || Far < 0) {
      ::close(Near);
      ::close(Far);
      continue;
    }
    ++Accepted;
    const std::lock_guard<std::mutex> Lock(Mutex);
    Link &Value = Links.emplace_back();
    Value.Near = Near;
    Value.Far = Far;
    Value.Pump = std::thread([this, &Value] { pump(Value); });
  }
}

void TcpForwarder::pump(Link &Value) {
  std::array<pollfd, 2> Entries = {pollfd{Value.Near, POLLIN, 0},
                                   pollfd{Value.Far, POLLIN, 0}};
  bool Open = true;
  while (Open && !Stopping) {
    if (Value.Silent) {
      std::this_thread::sleep_for(std::chrono::milliseconds(PollMillis));
      continue;
    }
    if (::poll(Entries.data(), Entries.size(), PollMillis) <= 0 || Value.Silent)
      continue;
    if (Entries[0].revents != 0)
      Open = copyOnce(Value.Near, Value.Far);
    if (Open && Entries[1].revents != 0)
      Open = copyOnce(Value.Far, Value.Near);
  }
  ::close(Value.Near);
  ::close(Value.Far);
}

int TcpForwarder::connectToTarget() const {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int Yes = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &Yes, sizeof Yes);
  const sockaddr_in Address = addressOf(TargetIp, TargetPort);
  if (::connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
                sizeof Address) == 0)
    return Socket;
  ::close(Socket);
  return -1;
}

} // namespace camphorpin::process
