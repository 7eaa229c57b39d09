#include "camphorpin/src/Daemon/DatagramThread.h"

#include "camphorpin/src/Daemon/Listener.h"

#include <array>
#include <optional>
#include <poll.h>
#include <span>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace camphorpin {

namespace {

/// Interval at which the thread looks whether it has to stop.
constexpr int StopCheckMillis = 100;

HostAddress toHostAddress(const sockaddr_in &Name) {
  return {ntohl(Name.sin_addr.s_addr), ntohs(Name.sin_port)};
}

} // namespace

DatagramThread::~DatagramThread() {
  stop();
  if (Socket >= 0)
    ::close(Socket);
}

bool DatagramThread::bind(const HostAddress &Address) {
  Socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    return false;
  const sockaddr_in Name = toSockaddr(Address);
  return ::bind(Socket, reinterpret_cast<const sockaddr *>(&Name),
                sizeof(Name)) == 0;
}

void DatagramThread::start() {
  Thread = std::thread([this] { run(); });
}

void DatagramThread::stop() {
  Stopping = true;
  if (Thread.joinable())
    Thread.join();
}

void DatagramThread::send(HostAddress To,
                          std::span<const std::byte> Data) const {
  const sockaddr_in Name = toSockaddr(To);
  ::sendto(Socket, Data.data(), Data.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
           reinterpret_cast<const sockaddr *>(&Name), sizeof(Name));
}

void DatagramThread::run() {
  // One byte more than the largest datagram, so that a longer one is noticed.
  std::array<std::byte, MaxDatagramBytes + 1> Buffer;
  while (!Stopping) {
    pollfd Entry{Socket, POLLIN, 0};
    if (::poll(&Entry, 1, StopCheckMillis) <= 0)
      continue;
    sockaddr_in From{};
    socklen_t FromSize = sizeof(From);
    const ssize_t Size =
        ::recvfrom(Socket, Buffer.data(), Buffer.size(), MSG_DONTWAIT,
                   reinterpret_cast<sockaddr *>(&From), &FromSize);
    if (Size < 0)
      continue;
    std::optional<DatagramMessage> Message =
        decodeDatagram(std::span(Buffer).first(static_cast<std::size_t>(Size)));
    if (!Message) {
      Log.write(
          LogEvent::MessageRejected,
          {{"peer", toHostAddress(From).toString()}, {"kind", "datagram"}});
      continue;
    }
    // Datagrams may be lost, so a busy node drops them.
    Events.offer(DatagramArrived{toHostAddress(From), *std::move(Message)});
  }
}

} // namespace camphorpin
