#ifndef CAMPHORPIN_SRC_DAEMON_DATAGRAMTHREAD_H
#define CAMPHORPIN_SRC_DAEMON_DATAGRAMTHREAD_H

#include "camphorpin/src/Daemon/EventLog.h"
#include "camphorpin/src/Daemon/EventQueue.h"

#include <atomic>
#include <cstddef>
#include <span>
#include <thread>

namespace camphorpin {

/// \class DatagramThread
/// \brief The UDP socket for messages between nodes.
class DatagramThread {
public:
  /// \param Events and \p Log must outlive the thread.
  DatagramThread(EventQueue &Events, EventLog &Log)
      : Events(Events), Log(Log) {}
  ~DatagramThread();
  DatagramThread(const DatagramThread &) = delete;
  DatagramThread &operator=(const DatagramThread &) = delete;

  /// \returns false if the address cannot be bound.
  bool bind(const HostAddress &Address);

  void start();
  void stop();

  /// Sends a datagram from any thread. It is dropped if it cannot be sent at
  /// once.
  void send(HostAddress To, std::span<const std::byte> Data) const;

private:
  void run();

  EventQueue &Events;
  EventLog &Log;
  int Socket = -1;
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

} // namespace camphorpin

#endif
