#ifndef CAMPHORPIN_SRC_DAEMON_RPCTHREAD_H
#define CAMPHORPIN_SRC_DAEMON_RPCTHREAD_H

#include "camphorpin/src/Daemon/EventLog.h"
#include "camphorpin/src/Daemon/EventQueue.h"
#include "camphorpin/src/Daemon/RpcCommand.h"
#include "camphorpin/src/Daemon/WakeSignal.h"

#include <atomic>
#include <cstddef>
#include <thread>

namespace camphorpin {

/// \class RpcOptions
/// \brief What the RPC thread needs to know.
struct RpcOptions {
  ProcessId Self;
  ServiceName Service;
  ZoneName Zone;
  RegionName Region;
  /// Listening socket for other nodes; the thread closes it.
  int ListenSocket = -1;
  /// Largest body of a request or an answer, in bytes.
  std::size_t MaxBody = 1048576;
  /// Largest number of commands that wait for the thread.
  std::size_t MaxCommands = 16384;
  /// Silence with calls outstanding before a connection is compared with a new
  /// one.
  Duration ConnectionSilence = Duration::seconds(1);
};

/// \class RpcThread
/// \brief The KJ event loop with the connections to and from other nodes.
class RpcThread {
public:
  /// \param Events and \p Log must outlive the thread.
  RpcThread(RpcOptions Options, EventQueue &Events, EventLog &Log);
  ~RpcThread() { stop(); }
  RpcThread(const RpcThread &) = delete;
  RpcThread &operator=(const RpcThread &) = delete;

  void start();

  /// Closes all connections after the commands given so far and joins the
  /// thread.
  void stop();

  /// \returns false if too many commands wait.
  bool post(RpcCommand &&Command);

private:
  void run();

  const RpcOptions Options;
  EventQueue &Events;
  EventLog &Log;
  BoundedQueue<RpcCommand> Commands;
  WakeSignal Wake;
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

} // namespace camphorpin

#endif
