#ifndef CAMPHORPIN_TESTS_PROCESS_CLIENTCROWD_H
#define CAMPHORPIN_TESTS_PROCESS_CLIENTCROWD_H

#include "ChildProcess.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <netinet/in.h>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace camphorpin::process {

/// \class ClientBehavior
/// \brief What each client of a crowd sends on its connection, and whether it
/// reads what it gets. After the last byte the connection stays open.
struct ClientBehavior {
  std::string Name;
  /// Connections of the crowd.
  std::size_t Clients = 1;
  /// \returns the first bytes of a client, by its number from 0; may be empty.
  std::function<std::string(std::size_t)> Greeting;
  std::string Start;
  /// Bytes sent after Start: repetitions of Filler, the last one in part.
  std::string Filler;
  std::size_t FillerBytes = 0;
  /// Pause after each byte that is sent; 0 to send without pauses.
  std::chrono::milliseconds Pause{0};
  /// Reads and drops all that arrives.
  bool Reads = false;
  /// Opens a new connection in place of one that the server has closed.
  bool Reconnects = false;
};

/// \class ClientCrowd
/// \brief Connections that all behave in the same way, driven by a thread of
/// their own. The destructor closes them.
class ClientCrowd {
public:
  /// \param Ip the address to connect to, an IPv4 address in text form.
  ClientCrowd(const std::string &Ip, int Port, ClientBehavior Behavior);
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd &) = delete;
  ClientCrowd &operator=(const ClientCrowd &) = delete;

  /// \returns true if no byte was sent for a while: all is sent, or the server
  /// takes no more.
  bool settled() const;

  /// \returns the connections that the server has not closed.
  std::size_t open() const { return Open; }

private:
  struct Client {
    int Socket = -1;
    std::string Greeting;
    std::size_t Sent = 0;
    std::chrono::steady_clock::time_point NextSend;
  };

  void run();
  void connect(Client &Item) const;
  void serve(Client &Item, short Events);
  /// Sends what the socket takes.
  /// \returns false if the connection has ended.
  bool send(Client &Item);
  std::size_t totalBytes(const Client &Item) const;
  /// \returns the next bytes to send, at most \p Bytes.
  std::string_view next(const Client &Item, std::size_t Bytes) const;
  void close(Client &Item);

  const ClientBehavior Behavior;
  sockaddr_in Address{};
  std::vector<Client> Clients;
  std::atomic<bool> Stopping = false;
  std::atomic<std::size_t> Open = 0;
  std::atomic<std::chrono::steady_clock::time_point> LastSend;
  std::thread Thread;
};

/// \returns a chunk of \p Bytes bytes of a chunked body.
std::string chunk(std::size_t Bytes);

/// \param Head the head of a request without its last line.
/// \returns the request with a whole body of \p Bytes bytes.
std::string wholeRequest(const std::string &Head, std::size_t Bytes);

/// \returns clients that open one connection after the other.
ClientBehavior idleAgainAndAgain();

/// \returns clients that send bodies far over a limit, announced or not.
/// \param Head the head of a request without its last line.
/// \param Bytes that each of them sends.
std::vector<ClientBehavior> bodiesFarOverTheLimit(const std::string &Head,
                                                  std::size_t Bytes);

/// \class CrowdBounds
/// \brief What a process may use beside a crowd.
struct CrowdBounds {
  std::size_t MemoryBytes = 0;
  std::size_t Descriptors = 0;
};

/// Prints what \p Process uses beside the crowd \p Crowd.
/// \param Descriptors that the process had open.
/// \param Served ordinary requests were answered.
/// \returns what is wrong; empty if nothing is.
std::string faultsBeside(const std::string &Crowd, ChildProcess &Process,
                         std::size_t Descriptors, bool Served,
                         const CrowdBounds &Bounds);

} // namespace camphorpin::process

#endif
