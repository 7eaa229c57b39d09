#ifndef CAMPHORPIN_TESTS_PROCESS_TCPFORWARDER_H
#define CAMPHORPIN_TESTS_PROCESS_TCPFORWARDER_H

#include <atomic>
#include <cstddef>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace camphorpin::process {

/// \class TcpForwarder
/// \brief Forwards TCP connections to a server and can make the open ones
/// silent: they stay open but carry nothing more, while new ones work.
class TcpForwarder {
public:
  /// Listens at a port of \p Ip that the kernel chooses.
  TcpForwarder(const std::string &Ip, const std::string &TargetIp,
               int TargetPort);
  ~TcpForwarder();

  TcpForwarder(const TcpForwarder &) = delete;
  TcpForwarder &operator=(const TcpForwarder &) = delete;

  int port() const { return Port; }

  /// Makes all connections that are open now silent for good.
  void silenceOpenConnections();

  /// \returns the number of bytes that the near ends have sent on connections
  /// that are silent.
  std::size_t bytesOnSilentConnections();

  /// \returns the number of connections that were accepted since the start.
  std::size_t accepted() const { return Accepted; }

private:
  struct Link {
    int Near = -1;
    int Far = -1;
    std::atomic<bool> Silent = false;
    std::thread Pump;
  };

  void acceptLoop();
  void pump(Link &Value);
  int connectToTarget() const;

  std::string TargetIp;
  int TargetPort;
  int Listener = -1;
  int Port = 0;
  std::atomic<bool> Stopping = false;
  std::atomic<std::size_t> Accepted = 0;
  std::mutex Mutex;
  std::list<Link> Links;
  std::thread Acceptor;
};

} // namespace camphorpin::process

#endif
