#include "ScriptedServer.h"

#include "LoopbackPorts.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace camphorpin::test {

namespace {

/// How often a wait looks whether the server stops.
constexpr int StopCheckMillis = 20;
/// Time from the delivery of an answer to the reset of its connection.
constexpr std::chrono::milliseconds ResetDelay(50);

int listenAt(const std::string &Ip, int Port) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  ::inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  if (::bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof Address) !=
          0 ||
      ::listen(Socket, 64) != 0) {
    std::perror(Ip.c_str());
    std::exit(1);
  }
  return Socket;
}

bool waitReadable(int Socket, const std::atomic<bool> &Stopping) {
  while (!Stopping) {
    pollfd Entry{Socket, POLLIN, 0};
    if (::poll(&Entry, 1, StopCheckMillis) > 0)
      return true;
  }
  return false;
}

/// Appends received bytes to \p Text.
/// \returns false if the connection or the server ends.
bool receive(int Socket, std::string &Text, const std::atomic<bool> &Stopping) {
  if (!waitReadable(Socket, Stopping))
    return false;
  std::array<char, 65536> Buffer{};
  const ssize_t Count = ::recv(Socket, Buffer.data(), Buffer.size(), 0);
  if (Count <= 0)
    return false;
  Text.append(Buffer.data(), static_cast<std::size_t>(Count));
  return true;
}

void sendAll(int Socket, std::string_view Bytes) {
  while (!Bytes.empty()) {
    const ssize_t Count =
        ::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Count <= 0)
      return;
    Bytes.remove_prefix(static_cast<std::size_t>(Count));
  }
}

std::size_t contentLength(std::string_view Head) {
  constexpr std::string_view Name = "\r\nContent-Length: ";
  const std::size_t Start = Head.find(Name);
  if (Start == std::string_view::npos)
    return 0;
  std::size_t Result = 0;
  std::from_chars(Head.data() + Start + Name.size(), Head.data() + Head.size(),
                  Result);
  return Result;
}

/// Waits until the caller's kernel has received what was sent: a reset drops
/// the rest.
void waitDelivered(int Socket, const std::atomic<bool> &Stopping) {
  int Unsent = 1;
  while (!Stopping && Unsent > 0) {
    if (::ioctl(Socket, SIOCOUTQ, &Unsent) != 0)
      return;
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

void reset(int Socket) {
  const linger NoLinger{1, 0};
  ::setsockopt(Socket, SOL_SOCKET, SO_LINGER, &NoLinger, sizeof NoLinger);
}

} // namespace

ScriptedServer::ScriptedServer(Script Answers)
    : Ip(loopbackIp(0)), Port(freePort(Ip)), Answers(std::move(Answers)),
      Listener(listenAt(Ip, Port)), Accepting([this] { acceptAll(); }) {}

ScriptedServer::~ScriptedServer() {
  Stopping = true;
  Accepting.join();
  for (std::thread &Item : Serving)
    Item.join();
  ::close(Listener);
}

void ScriptedServer::acceptAll() {
  while (waitReadable(Listener, Stopping)) {
    const int Socket = ::accept(Listener, nullptr, nullptr);
    if (Socket < 0)
      return;
    ++Connections;
    Serving.emplace_back([this, Socket] { serve(Socket); });
  }
}

void ScriptedServer::serve(int Socket) {
  std::string Received;
  AfterAnswer Then = AfterAnswer::KeepOpen;
  while (Then == AfterAnswer::KeepOpen) {
    std::size_t End = 0;
    while ((End = Received.find("\r\n\r\n")) == std::string::npos)
      if (!receive(Socket, Received, Stopping)) {
        ::close(Socket);
        return;
      }
    const std::string Head = Received.substr(0, End + 4);
    const ScriptedAnswer Answer = Answers(Head);
    sendAll(Socket, Answer.Bytes);
    Then = Answer.Then;
    if (Then == AfterAnswer::Reset || Then == AfterAnswer::CloseThenReset)
      break;
    const std::size_t Request = Head.size() + contentLength(Head);
    while (Received.size() < Request)
      if (!receive(Socket, Received, Stopping))
        break;
    Received.erase(0, std::min(Request, Received.size()));
  }
  if (Then != AfterAnswer::Reset)
    ::shutdown(Socket, SHUT_WR);
  if (Then != AfterAnswer::Close) {
    waitDelivered(Socket, Stopping);
    std::this_thread::sleep_for(ResetDelay);
    reset(Socket);
  }
  ::close(Socket);
}

} // namespace camphorpin::test
