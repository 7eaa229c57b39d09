#include "Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t ReadBytes = 65536;

sockaddr_in loopback(std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

/// \returns a socket that is bound to \p Port, or -1.
int bindTo(std::uint16_t Port) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const sockaddr_in Address = loopback(Port);
  if (::bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
             sizeof(Address)) == 0)
    return Socket;
  ::close(Socket);
  return -1;
}

std::string lowerCase(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(), [](unsigned char C) {
    return static_cast<char>(std::tolower(C));
  });
  return Text;
}

bool writeAll(int Socket, std::string_view Bytes) {
  while (!Bytes.empty()) {
    const ssize_t Written =
        ::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Written <= 0)
      return false;
    Bytes.remove_prefix(static_cast<std::size_t>(Written));
  }
  return true;
}

/// Appends what arrives on \p Socket to \p Target.
/// \returns false at the end of the connection or after \p TimeoutMillis.
bool readMore(int Socket, std::string &Target, std::int64_t TimeoutMillis) {
  pollfd Wait{Socket, POLLIN, 0};
  if (::poll(&Wait, 1, static_cast<int>(TimeoutMillis)) <= 0)
    return false;
  std::vector<char> Chunk(ReadBytes);
  const ssize_t Count = ::recv(Socket, Chunk.data(), Chunk.size(), 0);
  if (Count <= 0)
    return false;
  Target.append(Chunk.data(), static_cast<std::size_t>(Count));
  return true;
}

std::string headerLines(const std::map<std::string, std::string> &Headers) {
  std::string Result;
  for (const auto &[Name, Value] : Headers)
    Result.append(Name).append(": ").append(Value).append("\r\n");
  return Result;
}

std::string replyBytes(const HttpReply &Reply) {
  return "HTTP/1.1 " + std::to_string(Reply.Status) + " Status\r\n" +
         headerLines(Reply.Headers) +
         "Content-Length: " + std::to_string(Reply.Body.size()) + "\r\n\r\n" +
         Reply.Body;
}

void parseHead(std::string_view Head, HttpMessage &Target) {
  bool First = true;
  while (!Head.empty()) {
    const std::size_t End = Head.find("\r\n");
    const std::string_view Line = Head.substr(0, End);
    Head = End == std::string_view::npos ? std::string_view()
                                         : Head.substr(End + 2);
    const std::size_t Colon = Line.find(':');
    if (First) {
      Target.Start = std::string(Line);
    } else if (Colon != std::string_view::npos) {
      std::string_view Value = Line.substr(Colon + 1);
      while (!Value.empty() && Value.front() == ' ')
        Value.remove_prefix(1);
      Target.Headers[lowerCase(std::string(Line.substr(0, Colon)))] =
          std::string(Value);
    }
    First = false;
  }
}

} // namespace

std::int64_t nowMillis() {
  static const SteadyClock::time_point Start = SteadyClock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             SteadyClock::now() - Start)
      .count();
}

std::int64_t unixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void sleepMillis(std::int64_t Millis) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Millis));
}

std::string HttpMessage::header(const std::string &Name) const {
  const auto Found = Headers.find(Name);
  return Found == Headers.end() ? std::string() : Found->second;
}

std::string HttpMessage::target() const {
  const std::size_t First = Start.find(' ');
  const std::size_t Last = Start.rfind(' ');
  if (First == std::string::npos || Last <= First)
    return {};
  return Start.substr(First + 1, Last - First - 1);
}

int HttpMessage::status() const {
  const std::size_t Space = Start.find(' ');
  return Space == std::string::npos ? 0
                                    : static_cast<int>(std::strtol(
                                          Start.c_str() + Space, nullptr, 10));
}

std::optional<HttpMessage> takeMessage(std::string &Bytes) {
  const std::size_t End = Bytes.find("\r\n\r\n");
  if (End == std::string::npos)
    return std::nullopt;
  HttpMessage Result;
  parseHead(std::string_view(Bytes).substr(0, End), Result);
  const std::size_t Length =
      std::strtoul(Result.header("content-length").c_str(), nullptr, 10);
  const std::size_t Total = End + 4 + Length;
  if (Bytes.size() < Total)
    return std::nullopt;
  Result.Body = Bytes.substr(End + 4, Length);
  Bytes.erase(0, Total);
  return Result;
}

HttpServer::HttpServer(Handler OnRequest)
    : OnRequest(std::move(OnRequest)), Port(freePort()) {}

void HttpServer::start() {
  const int Socket = bindTo(Port);
  if (Socket < 0 || ::listen(Socket, SOMAXCONN) != 0)
    std::exit(2);
  const std::lock_guard<std::mutex> Lock(Mutex);
  Listening = Socket;
  std::thread([this, Socket] { acceptAll(Socket); }).detach();
}

void HttpServer::stop() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Listening >= 0)
    ::shutdown(Listening, SHUT_RDWR);
  Listening = -1;
  for (const int Socket : Connections)
    ::shutdown(Socket, SHUT_RDWR);
}

void HttpServer::acceptAll(int Listener) {
  for (;;) {
    const int Socket = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Socket < 0)
      break;
    const int On = 1;
    ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (Listening != Listener) {
      ::close(Socket);
      continue;
    }
    Connections.insert(Socket);
    std::thread([this, Socket] { serve(Socket); }).detach();
  }
  ::close(Listener);
}

void HttpServer::serve(int Socket) {
  constexpr std::int64_t IdleMillis = 60000;
  std::string Bytes;
  for (bool Open = true; Open;) {
    std::optional<HttpMessage> Message = takeMessage(Bytes);
    if (!Message) {
      Open = readMore(Socket, Bytes, IdleMillis);
      continue;
    }
    const std::optional<HttpReply> Reply = OnRequest(*Message);
    Open = Reply && writeAll(Socket, replyBytes(*Reply));
  }
  const std::lock_guard<std::mutex> Lock(Mutex);
  Connections.erase(Socket);
  ::close(Socket);
}

std::uint16_t freePort() {
  // Below the ports that the system gives to outgoing connections, so that none
  // of these takes the port of a process that starts again.
  constexpr std::uint16_t FirstPort = 12000;
  constexpr std::uint16_t PortCount = 20000;
  constexpr std::uint16_t Stride = 61;
  static std::mutex Mutex;
  static std::uint16_t Next =
      static_cast<std::uint16_t>(::getpid() * Stride % PortCount);
  const std::lock_guard<std::mutex> Lock(Mutex);
  for (;;) {
    const std::uint16_t Port = static_cast<std::uint16_t>(FirstPort + Next);
    Next = static_cast<std::uint16_t>((Next + 1) % PortCount);
    const int Socket = bindTo(Port);
    if (Socket < 0)
      continue;
    ::close(Socket);
    return Port;
  }
}

int connectTo(std::uint16_t Port) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in Address = loopback(Port);
  if (::connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
                sizeof(Address)) == 0)
    return Socket;
  ::close(Socket);
  return -1;
}

std::string Request::bytes() const {
  std::map<std::string, std::string> All = Headers;
  All.emplace("Host", "shop.example");
  if (!Body.empty() || Method == "POST" || Method == "PUT")
    All["Content-Length"] = std::to_string(Body.size());
  return Method + " " + Target + " HTTP/1.1\r\n" + headerLines(All) + "\r\n" +
         Body;
}

std::optional<HttpMessage> exchange(std::uint16_t Port, const Request &Value,
                                    std::int64_t TimeoutMillis) {
  const std::int64_t End = nowMillis() + TimeoutMillis;
  const int Socket = connectTo(Port);
  if (Socket < 0)
    return std::nullopt;
  std::optional<HttpMessage> Result;
  std::string Bytes;
  bool Open = writeAll(Socket, Value.bytes());
  while (Open && !Result) {
    Open = nowMillis() < End && readMore(Socket, Bytes, End - nowMillis());
    Result = takeMessage(Bytes);
  }
  ::close(Socket);
  return Result;
}

} // namespace review
