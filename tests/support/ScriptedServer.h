#ifndef CAMPHORPIN_TESTS_SUPPORT_SCRIPTEDSERVER_H
#define CAMPHORPIN_TESTS_SUPPORT_SCRIPTEDSERVER_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace camphorpin::test {

/// \brief What a ScriptedServer does to its connection after an answer.
enum class AfterAnswer : std::uint8_t {
  /// Reads the next request.
  KeepOpen,
  /// Reads the rest of the request, then ends the connection in order.
  Close,
  /// Resets the connection without reading the rest of the request.
  Reset,
  /// Ends its side in order, and resets the connection a moment later without
  /// reading the rest of the request.
  CloseThenReset,
};

/// \class ScriptedAnswer
/// \brief Raw bytes, and what follows them.
struct ScriptedAnswer {
  std::string Bytes;
  AfterAnswer Then = AfterAnswer::KeepOpen;
};

/// \class ScriptedServer
/// \brief An HTTP server that answers each request with raw bytes as soon as it
/// has the head of the request. Uses no HTTP library, so that it can send what
/// the protocol rules out.
class ScriptedServer {
public:
  /// Called in the threads of the connections.
  /// \param Head the request line and the headers.
  using Script = std::function<ScriptedAnswer(std::string_view Head)>;

  explicit ScriptedServer(Script Answers);
  /// Ends all connections.
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer &) = delete;
  ScriptedServer &operator=(const ScriptedServer &) = delete;

  const std::string Ip;
  const int Port;

  /// \returns "IP:PORT".
  std::string address() const { return Ip + ":" + std::to_string(Port); }

  int connections() const { return Connections; }

private:
  void acceptAll();
  void serve(int Socket);

  Script Answers;
  int Listener;
  std::atomic<bool> Stopping = false;
  std::atomic<int> Connections = 0;
  std::vector<std::thread> Serving;
  std::thread Accepting;
};

} // namespace camphorpin::test

#endif
