#ifndef CAMPHORPIN_TESTS_RAWCONNECTION_H
#define CAMPHORPIN_TESTS_RAWCONNECTION_H

#include "camphorpin/src/Daemon/Listener.h"

#include <poll.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace camphorpin::testing {

/// \class RawConnection
/// \brief A TCP connection that sends exactly what a test says.
class RawConnection {
public:
  explicit RawConnection(const HostAddress &Address)
      : Socket(::socket(AF_INET, SOCK_STREAM, 0)) {
    const sockaddr_in Name = toSockaddr(Address);
    ::connect(Socket, reinterpret_cast<const sockaddr *>(&Name), sizeof(Name));
  }
  ~RawConnection() { ::close(Socket); }
  RawConnection(const RawConnection &) = delete;
  RawConnection &operator=(const RawConnection &) = delete;

  /// Tells the other side that no more will be sent.
  void endSending() const { ::shutdown(Socket, SHUT_WR); }

  bool send(std::string_view Text) {
    return ::send(Socket, Text.data(), Text.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(Text.size());
  }

  /// Reads until \p End arrives, the other side closes, or 10 s pass.
  std::string readUntil(std::string_view End) {
    std::string Text;
    while (End.empty() || Text.find(End) == std::string::npos) {
      pollfd Entry{Socket, POLLIN, 0};
      char Buffer[4096];
      if (::poll(&Entry, 1, 10000) <= 0)
        return Text + "<timeout>";
      const ssize_t Count = ::recv(Socket, Buffer, sizeof(Buffer), 0);
      if (Count <= 0)
        return Text + "<closed>";
      Text.append(Buffer, static_cast<std::size_t>(Count));
    }
    return Text;
  }

  std::string readToEnd() { return readUntil(""); }

private:
  int Socket;
};

} // namespace camphorpin::testing

#endif
