#include "camphorpin/src/Daemon/HttpStream.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstring>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace camphorpin {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Interval at which a wait looks whether other requests wait for a thread.
constexpr milliseconds CrowdCheckPeriod{100};
/// Time that any transfer may take, and average rate in bytes per second below
/// which it ends after that time if other connections wait for a thread.
constexpr milliseconds SlowAfter{1000};
constexpr double SlowBytesPerSecond = 131072;
/// Time in which a whole answer must be read, by however slow a client.
constexpr milliseconds WriteTimeout{60000};
/// Output is sent early beyond this size, so that memory stays bounded.
constexpr std::size_t MaxUnsent = 1U << 20U;

using AddressFunction = int (*)(int, sockaddr *, socklen_t *);

void nameOf(int Socket, AddressFunction Function, std::string &Ip, int &Port) {
  sockaddr_in Name{};
  socklen_t Size = sizeof(Name);
  if (Function(Socket, reinterpret_cast<sockaddr *>(&Name), &Size) != 0)
    return;
  std::array<char, INET_ADDRSTRLEN> Text{};
  ::inet_ntop(AF_INET, &Name.sin_addr, Text.data(), Text.size());
  Ip = Text.data();
  Port = ntohs(Name.sin_port);
}

} // namespace

HttpStream::HttpStream(int Socket, const HttpLimits &Limits,
                       std::function<bool()> Crowded)
    : Socket(Socket), Limits(Limits), Crowded(std::move(Crowded)) {}

HttpStream::~HttpStream() {
  ::shutdown(Socket, SHUT_RDWR);
  ::close(Socket);
}

void HttpStream::beginRequest(TimePoint Begin) {
  RequestBegin = Begin;
  Received = 0;
  InHeaders = true;
  TooLarge = false;
  Slow = false;
}

bool HttpStream::waitForTransfer(short Events, TimePoint Begin, TimePoint End,
                                 std::size_t Bytes) const {
  while (steady_clock::now() < End) {
    const std::chrono::duration<double> Elapsed = steady_clock::now() - Begin;
    const bool Slow =
        Elapsed >= SlowAfter &&
        static_cast<double>(Bytes) < SlowBytesPerSecond * Elapsed.count();
    if (Slow && Crowded())
      return false;
    if (waitFor(Events, CrowdCheckPeriod))
      return true;
  }
  return false;
}

bool HttpStream::flush() {
  const steady_clock::time_point Begin = steady_clock::now();
  const milliseconds ReadTimeout(Limits.ReadTimeout.wholeMillis());
  std::string_view Rest = Output;
  while (!Rest.empty()) {
    const ssize_t Sent =
        ::send(Socket, Rest.data(), Rest.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Sent > 0) {
      Rest.remove_prefix(static_cast<std::size_t>(Sent));
      continue;
    }
    const bool MustWait = Sent < 0 && (errno == EAGAIN || errno == EINTR);
    const steady_clock::time_point End =
        std::min(steady_clock::now() + ReadTimeout, Begin + WriteTimeout);
    if (!MustWait ||
        !waitForTransfer(POLLOUT, Begin, End, Output.size() - Rest.size())) {
      Output.clear();
      return false;
    }
  }
  Output.clear();
  return true;
}

bool HttpStream::is_readable() const {
  return InputBegin < InputEnd || waitFor(POLLIN, milliseconds(0));
}

bool HttpStream::is_writable() const { return true; }

ssize_t HttpStream::read(char *Target, std::size_t Size) {
  if (InputBegin == InputEnd && !fill())
    return Slow || TooLarge ? -1 : 0;
  const std::size_t Count = std::min(Size, InputEnd - InputBegin);
  Received += Count;
  if (InHeaders && Received > Limits.Headers) {
    TooLarge = true;
    return -1;
  }
  std::memcpy(Target, Input.data() + InputBegin, Count);
  InputBegin += Count;
  return static_cast<ssize_t>(Count);
}

ssize_t HttpStream::write(const char *Source, std::size_t Size) {
  Output.append(Source, Size);
  if (Output.size() > MaxUnsent && !flush())
    return -1;
  return static_cast<ssize_t>(Size);
}

void HttpStream::get_remote_ip_and_port(std::string &Ip, int &Port) const {
  nameOf(Socket, ::getpeername, Ip, Port);
}

void HttpStream::get_local_ip_and_port(std::string &Ip, int &Port) const {
  nameOf(Socket, ::getsockname, Ip, Port);
}

bool HttpStream::fill() {
  // The other side may wait for what was written, for example "100 Continue".
  if (!flush())
    return false;
  const steady_clock::time_point End =
      RequestBegin + milliseconds(Limits.ReadTimeout.wholeMillis());
  if (!waitForTransfer(POLLIN, RequestBegin, End, Received)) {
    Slow = true;
    return false;
  }
  const ssize_t Count = ::recv(Socket, Input.data(), Input.size(), 0);
  if (Count <= 0)
    return false;
  InputBegin = 0;
  InputEnd = static_cast<std::size_t>(Count);
  return true;
}

bool HttpStream::waitFor(short Events, milliseconds Timeout) const {
  pollfd Entry{Socket, Events, 0};
  return ::poll(&Entry, 1, static_cast<int>(Timeout.count())) > 0;
}

} // namespace camphorpin
