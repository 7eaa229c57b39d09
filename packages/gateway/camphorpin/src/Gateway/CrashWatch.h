#ifndef CAMPHORPIN_SRC_GATEWAY_CRASHWATCH_H
#define CAMPHORPIN_SRC_GATEWAY_CRASHWATCH_H

#include "camphorpin/src/Crash/CrashGuard.h"
#include "camphorpin/src/Gateway/EventLoop.h"
#include "camphorpin/src/Gateway/PeerMessages.h"

#include <functional>
#include <vector>

namespace camphorpin {

/// \class CrashWatch
/// \brief Tells crashes of the local backend server from lost answers, and
/// feeds the crash guard.
///
/// When the connection of a run is lost, the backend server is connected to
/// once more: only if it refuses, it has crashed, and the run is a suspect.
class CrashWatch {
public:
  /// Receives the number of runs that were lost at a crash and the news for the
  /// other nodes.
  using Listener = std::function<void(std::size_t, const PeerCrashes &)>;

  /// \param Self identifies the reports of this node.
  CrashWatch(EventLoop &Loop, const Clock &Time, const ProcessId &Self,
             const HostAddress &Backend);

  void onCrash(Listener Value) { Found = std::move(Value); }

  /// \returns whether the run may start; CrashDecision::Start counts it.
  CrashDecision start(std::uint64_t RunId, const PeerCall &Call);

  /// The run has ended with an answer, a refusal or a cancellation.
  void end(std::uint64_t RunId, bool Completed);

  /// The connection of the run was lost before its answer.
  void onRunLost(std::uint64_t RunId);

  /// News of a crash at another node.
  void learn(const PeerCrashes &Crashes);

  /// \returns true if the request has crashed too many backend servers.
  bool refuses(std::uint64_t Fingerprint) const {
    return Guard.refuses(Fingerprint, Time.now());
  }

  /// Periodic work, at least once a second.
  void tick() { Guard.tick(Time.now()); }

private:
  void check();
  void onChecked(bool Refused);

  EventLoop &Loop;
  const Clock &Time;
  HostAddress Backend;
  CrashGuard Guard;
  Listener Found;
  /// Runs whose connection was lost since the last check.
  std::vector<std::uint64_t> Lost;
  bool Checking = false;
};

} // namespace camphorpin

#endif
