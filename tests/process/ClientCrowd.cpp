#include "ClientCrowd.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstdio>
#include <optional>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace camphorpin::process {

namespace {

using std::chrono::steady_clock;

/// Time without a sent byte after which a crowd has settled.
constexpr std::chrono::milliseconds SettleTime(800);
constexpr std::chrono::milliseconds PollInterval(10);
/// Largest number of bytes that one call sends.
constexpr std::size_t SendBytes = 65536;

bool wouldBlock(int Error) {
  return Error == EAGAIN || Error == EWOULDBLOCK || Error == EINPROGRESS ||
         Error == ENOTCONN;
}

/// Reads and drops what has arrived.
/// \returns false if the server has closed the connection.
bool drop(int Socket) {
  std::array<char, SendBytes> Buffer{};
  const ssize_t Count =
      ::recv(Socket, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
  return Count > 0 || (Count < 0 && wouldBlock(errno));
}

} // namespace

ClientCrowd::ClientCrowd(const std::string &Ip, int Port,
                         ClientBehavior Behavior)
    : Behavior(std::move(Behavior)), Clients(this->Behavior.Clients),
      LastSend(steady_clock::now()) {
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  ::inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  if (this->Behavior.Greeting)
    for (std::size_t Number = 0; Number < Clients.size(); ++Number)
      Clients[Number].Greeting = this->Behavior.Greeting(Number);
  Thread = std::thread([this] { run(); });
}

ClientCrowd::~ClientCrowd() {
  Stopping = true;
  Thread.join();
  for (Client &Item : Clients)
    close(Item);
}

bool ClientCrowd::settled() const {
  return steady_clock::now() - LastSend.load() >= SettleTime;
}

void ClientCrowd::run() {
  for (Client &Item : Clients)
    connect(Item);
  Open = Clients.size();
  while (!Stopping) {
    std::vector<pollfd> Polled;
    std::vector<Client *> Items;
    const steady_clock::time_point Now = steady_clock::now();
    for (Client &Item : Clients) {
      if (Item.Socket < 0)
        continue;
      const bool Sends = Item.Sent < totalBytes(Item) && Now >= Item.NextSend;
      const int Events = (Sends ? POLLOUT : 0) | (Behavior.Reads ? POLLIN : 0);
      Polled.push_back({Item.Socket, static_cast<short>(Events), 0});
      Items.push_back(&Item);
    }
    ::poll(Polled.data(), Polled.size(), PollInterval.count());
    for (std::size_t Index = 0; Index < Items.size(); ++Index)
      if (Polled[Index].revents != 0)
        serve(*Items[Index], Polled[Index].revents);
    Open = static_cast<std::size_t>(
        std::count_if(Clients.begin(), Clients.end(),
                      [](const Client &Item) { return Item.Socket >= 0; }));
  }
}

void ClientCrowd::connect(Client &Item) const {
  Item.Socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  Item.Sent = 0;
  // Its outcome shows when the socket is polled.
  (void)::connect(Item.Socket, reinterpret_cast<const sockaddr *>(&Address),
                  sizeof(Address));
}

void ClientCrowd::serve(Client &Item, short Events) {
  bool Ended = (Events & (POLLHUP | POLLERR)) != 0;
  if (!Ended && (Events & POLLIN) != 0)
    Ended = !drop(Item.Socket);
  if (!Ended && (Events & POLLOUT) != 0)
    Ended = !send(Item);
  if (!Ended)
    return;
  close(Item);
  if (Behavior.Reconnects)
    connect(Item);
}

bool ClientCrowd::send(Client &Item) {
  const bool Pauses = Behavior.Pause.count() > 0;
  const std::string_view Bytes = next(Item, Pauses ? 1 : SendBytes);
  const ssize_t Count = ::send(Item.Socket, Bytes.data(), Bytes.size(),
                               MSG_NOSIGNAL | MSG_DONTWAIT);
  if (Count < 0)
    return wouldBlock(errno);
  Item.Sent += static_cast<std::size_t>(Count);
  Item.NextSend = steady_clock::now() + Behavior.Pause;
  LastSend = steady_clock::now();
  return true;
}

std::size_t ClientCrowd::totalBytes(const Client &Item) const {
  return Item.Greeting.size() + Behavior.Start.size() + Behavior.FillerBytes;
}

std::string_view ClientCrowd::next(const Client &Item,
                                   std::size_t Bytes) const {
  std::size_t Offset = Item.Sent;
  for (const std::string *Text : {&Item.Greeting, &Behavior.Start}) {
    if (Offset < Text->size())
      return std::string_view(*Text).substr(Offset, Bytes);
    Offset -= Text->size();
  }
  const std::size_t Left = totalBytes(Item) - Item.Sent;
  return std::string_view(Behavior.Filler)
      .substr(Offset % Behavior.Filler.size(), std::min(Bytes, Left));
}

void ClientCrowd::close(Client &Item) {
  if (Item.Socket >= 0)
    ::close(Item.Socket);
  Item.Socket = -1;
}

std::string chunk(std::size_t Bytes) {
  std::array<char, 32> Length{};
  std::snprintf(Length.data(), Length.size(), "%zx\r\n", Bytes);
  return Length.data() + std::string(Bytes, 'x') + "\r\n";
}

std::string wholeRequest(const std::string &Head, std::size_t Bytes) {
  return Head + "Content-Length: " + std::to_string(Bytes) + "\r\n\r\n" +
         std::string(Bytes, 'x');
}

ClientBehavior idleAgainAndAgain() {
  return {.Name = "idle, again and again",
          .Clients = 100,
          .Start = "\r\n",
          .Reads = true,
          .Reconnects = true};
}

std::vector<ClientBehavior> bodiesFarOverTheLimit(const std::string &Head,
                                                  std::size_t Bytes) {
  ClientBehavior Announced{.Name = "body far over the limit, announced",
                           .Clients = 12,
                           .Start =
                               Head + "Content-Length: 1099511627776\r\n\r\n",
                           .Filler = std::string(65536, 'x'),
                           .FillerBytes = Bytes,
                           .Reconnects = true};
  ClientBehavior Sent = Announced;
  Sent.Name = "body far over the limit, just sent";
  Sent.Start = Head + "Transfer-Encoding: chunked\r\n\r\n";
  Sent.Filler = chunk(65536);
  return {std::move(Announced), std::move(Sent)};
}

std::string faultsBeside(const std::string &Crowd, ChildProcess &Process,
                         std::size_t Descriptors, bool Served,
                         const CrowdBounds &Bounds) {
  constexpr std::size_t Megabyte = std::size_t(1) << 20U;
  const std::size_t Memory = Process.peakMemory();
  const std::optional<int> Status = Process.poll();
  std::string Faults;
  if (Status)
    Faults += "ended with status " + std::to_string(*Status) + "; ";
  if (!Served)
    Faults += "ordinary requests were not served; ";
  if (Memory > Bounds.MemoryBytes)
    Faults += "more memory than its machine has; ";
  if (Descriptors > Bounds.Descriptors)
    Faults += "too many descriptors; ";
  std::fprintf(stderr, "%s: %zu MB, %zu descriptors; %s\n", Crowd.c_str(),
               Memory / Megabyte, Descriptors, Faults.c_str());
  return Faults;
}

} // namespace camphorpin::process
