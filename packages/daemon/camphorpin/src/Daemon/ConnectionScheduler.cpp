#include "camphorpin/src/Daemon/ConnectionScheduler.h"

#include <algorithm>
#include <cassert>
#include <poll.h>
#include <string_view>
#include <sys/socket.h>
#include <utility>

namespace camphorpin {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Time for which an idle connection is kept open.
constexpr milliseconds IdleTimeout{60000};
/// Interval at which the poller looks for headers that arrive too slowly.
constexpr milliseconds PartCheckInterval{20};
/// Time for which a stopping server waits for the rest of headers.
constexpr milliseconds StopTimeout{1000};
/// Interval at which the poller looks for connections that idled too long.
constexpr milliseconds IdleCheckInterval{1000};

/// Bytes of headers that may wait unread. The kernel does not take much more
/// before they are read; a thread reads longer ones.
constexpr std::size_t MaxPeekBytes = 16384;

/// \returns true if \p Bytes hold the empty line after the headers.
bool holdsHeaders(std::string_view Bytes) {
  return Bytes.find("\n\r\n") != std::string_view::npos ||
         Bytes.find("\n\n") != std::string_view::npos;
}

/// Sets the number of unread bytes from which poll() shows a socket.
void setReadableBytes(int Socket, std::size_t Bytes) {
  const int Value = static_cast<int>(Bytes);
  ::setsockopt(Socket, SOL_SOCKET, SO_RCVLOWAT, &Value, sizeof(Value));
}

} // namespace

ConnectionScheduler::ConnectionScheduler(const HttpLimits &Limits,
                                         std::size_t MaxConnections,
                                         RequestServer Serve)
    : Limits(Limits), MaxConnections(MaxConnections), Serve(std::move(Serve)),
      PeekBuffer(std::min(Limits.Headers, MaxPeekBytes) + 1) {
  Threads.emplace_back([this] { runPoller(); });
  for (std::size_t Index = 0; Index < Limits.Threads; ++Index)
    Threads.emplace_back([this] { runWorker(); });
}

void ConnectionScheduler::stop() {
  if (Threads.empty())
    return;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
    StoppingSince = steady_clock::now();
  }
  Wake.give();
  for (std::thread &Item : Threads)
    Item.join();
  Threads.clear();
  assert(Parked.empty() && Ready.empty() && "each connection has been closed");
}

void ConnectionScheduler::add(int Socket) {
  Connection Item;
  Item.Stream = std::make_unique<HttpStream>(Socket, Limits,
                                             [this] { return crowded(); });
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    // Without room, the new connection is closed unread.
    if (Open >= MaxConnections && Parked.empty())
      return;
    if (Open >= MaxConnections)
      Parked.pop_front();
    else
      ++Open;
  }
  park(std::move(Item));
}

void ConnectionScheduler::park(Connection Item) {
  Item.ParkedSince = steady_clock::now();
  Item.RequestBegin.reset();
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Parked.push_back(std::move(Item));
  }
  Wake.give();
}

void ConnectionScheduler::runWorker() {
  while (true) {
    Connection Item;
    {
      std::unique_lock<std::mutex> Lock(Mutex);
      Changed.wait(Lock, [this] { return !Ready.empty() || hasEnded(); });
      if (Ready.empty())
        return;
      Item = std::move(Ready.front());
      Ready.pop_front();
      ReadyCount = Ready.size();
    }
    serve(std::move(Item));
  }
}

void ConnectionScheduler::serve(Connection Item) {
  Item.Stream->beginRequest(Item.RequestBegin.value_or(steady_clock::now()));
  if (!Serve(*Item.Stream) || Stopping) {
    Item.Stream.reset();
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      --Open;
    }
    if (Stopping)
      Wake.give();
    return;
  }
  if (!Item.Stream->hasInput()) {
    park(std::move(Item));
    return;
  }
  // Bytes of the next request have been read with those of this one. Others
  // that wait for a thread come first.
  Item.RequestBegin = steady_clock::now();
  const std::lock_guard<std::mutex> Lock(Mutex);
  makeReady(std::move(Item));
}

void ConnectionScheduler::makeReady(Connection Item) {
  if (Item.AwaitsMore)
    setReadableBytes(Item.Stream->socket(), 1);
  Item.AwaitsMore = false;
  Ready.push_back(std::move(Item));
  ReadyCount = Ready.size();
  Changed.notify_one();
}

void ConnectionScheduler::runPoller() {
  bool Ended = false;
  while (!Ended) {
    const std::unordered_map<int, short> Readable = poll();
    const std::lock_guard<std::mutex> Lock(Mutex);
    checkParked(Readable);
    Ended = hasEnded();
  }
  Changed.notify_all();
}

std::unordered_map<int, short> ConnectionScheduler::poll() {
  milliseconds Timeout = IdleCheckInterval;
  std::vector<pollfd> Polled = {{Wake.descriptor(), POLLIN, 0}};
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    for (const Connection &Item : Parked) {
      Polled.push_back({Item.Stream->socket(), POLLIN | POLLRDHUP, 0});
      if (Item.RequestBegin)
        Timeout = PartCheckInterval;
    }
  }
  ::poll(Polled.data(), Polled.size(), static_cast<int>(Timeout.count()));
  Wake.clear();
  std::unordered_map<int, short> Readable;
  for (const pollfd &Item : Polled)
    if (Item.revents != 0)
      Readable[Item.fd] = Item.revents;
  return Readable;
}

void ConnectionScheduler::checkParked(
    const std::unordered_map<int, short> &Readable) {
  const TimePoint Now = steady_clock::now();
  const milliseconds ReadTimeout(Limits.ReadTimeout.wholeMillis());
  for (auto Item = Parked.begin(); Item != Parked.end();) {
    const auto Found = Readable.find(Item->Stream->socket());
    const short Events = Found == Readable.end() ? short(0) : Found->second;
    // What has arrived since poll() is not closed unread at the end.
    Arrival Arrived =
        Events == 0 && !Stopping ? Arrival::Nothing : arrivalOn(*Item->Stream);
    // No more will arrive; a thread answers what is there.
    if (Arrived == Arrival::Part && (Events & POLLRDHUP) != 0)
      Arrived = Arrival::Headers;
    Item->AwaitsMore = Item->AwaitsMore || Arrived == Arrival::Part;
    if (Arrived != Arrival::Nothing && !Item->RequestBegin)
      Item->RequestBegin = Now;
    // A thread answers a request that is too slow.
    const bool Late =
        Item->RequestBegin && Now - *Item->RequestBegin >= ReadTimeout;
    if (shouldClose(*Item, Arrived, Now))
      --Open;
    else if (Arrived == Arrival::Headers || Late)
      makeReady(std::move(*Item));
    else {
      ++Item;
      continue;
    }
    Item = Parked.erase(Item);
  }
}

bool ConnectionScheduler::shouldClose(const Connection &Item, Arrival Arrived,
                                      TimePoint Now) const {
  if (Arrived == Arrival::End)
    return true;
  if (Arrived == Arrival::Headers)
    return false;
  if (Item.RequestBegin)
    return Stopping && Now - StoppingSince >= StopTimeout;
  return Stopping || Now - Item.ParkedSince >= IdleTimeout;
}

ConnectionScheduler::Arrival
ConnectionScheduler::arrivalOn(const HttpStream &Stream) {
  const ssize_t Count = ::recv(Stream.socket(), PeekBuffer.data(),
                               PeekBuffer.size(), MSG_PEEK | MSG_DONTWAIT);
  if (Count < 0)
    return errno == EAGAIN || errno == EINTR ? Arrival::Nothing : Arrival::End;
  if (Count == 0)
    return Arrival::End;
  const std::size_t Bytes = static_cast<std::size_t>(Count);
  const bool Complete =
      Bytes == PeekBuffer.size() || holdsHeaders({PeekBuffer.data(), Bytes});
  if (Complete)
    return Arrival::Headers;
  // Otherwise the connection would be readable all the time.
  setReadableBytes(Stream.socket(), Bytes + 1);
  return Arrival::Part;
}

} // namespace camphorpin
