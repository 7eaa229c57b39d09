#ifndef CAMPHORPIN_SRC_DAEMON_NODEDAEMON_H
#define CAMPHORPIN_SRC_DAEMON_NODEDAEMON_H

#include "camphorpin/src/Daemon/AdminServer.h"
#include "camphorpin/src/Daemon/DecisionThread.h"
#include "camphorpin/src/Daemon/HttpFront.h"
#include "camphorpin/src/Daemon/Settings.h"

#include <memory>
#include <string>

namespace camphorpin {

/// \class NodeDaemon
/// \brief The threads of one node, connected by bounded rings.
class NodeDaemon final : private AdminSource {
public:
  explicit NodeDaemon(const Settings &Options);
  ~NodeDaemon() override;

  /// Binds all addresses and starts the threads.
  /// \returns an empty text, or which address could not be bound and why.
  std::string start();

  /// Starts the graceful drain.
  void drain() override;

  /// Waits until everything that was accepted is answered, then ends all
  /// threads.
  void waitForEnd();

private:
  std::string metrics() const override;
  std::string status() const override;
  std::string explain(const std::string &Service,
                      const std::string &Operation) const override;
  std::string bindAll();

  const Settings Options;
  SystemClock Time;
  SeededRandom Source;
  EventLog Log;
  Metrics Statistics;
  /// Also takes questions from const functions.
  mutable EventQueue Events;
  ProcessId Self;
  DatagramThread Datagrams;
  std::unique_ptr<RpcThread> Rpc;
  std::unique_ptr<BackendRunners> Runners;
  std::unique_ptr<LogThreads> PlatformRecords;
  std::unique_ptr<DecisionThread> Decisions;
  HttpFront Front;
  AdminServer Admin;
};

} // namespace camphorpin

#endif
