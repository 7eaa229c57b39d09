#ifndef CAMPHORPIN_SRC_GATEWAY_CRASHDETECTOR_H
#define CAMPHORPIN_SRC_GATEWAY_CRASHDETECTOR_H

#include "camphorpin/src/Crash/CrashGuard.h"
#include "camphorpin/src/Gateway/PeerMessages.h"
#include "camphorpin/src/Http/EventLoop.h"

#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace camphorpin {

/// \class CrashDetector
/// \brief Distinguishes crashes of the local backend server from lost answers,
/// and reports them to the crash guard.
///
/// When the connection of a run is lost, a new connection to the backend server
/// is attempted. If the new connection is refused, the server is assumed to
/// have crashed, and the run becomes a suspect. The server may also accept
/// connections again before this node, which may have been suspended, has tried
/// to connect. The same is therefore assumed if another incarnation of the
/// server is noticed within some seconds and the earlier one had not announced
/// that it leaves.
class CrashDetector {
public:
  /// Receives the number of runs lost in a crash and the reports for the other
  /// nodes.
  using Listener = std::function<void(std::size_t, const PeerCrashes &)>;

  /// \param Self identifies the reports of this node.
  CrashDetector(EventLoop &Loop, const Clock &Time, const ProcessId &Self,
                const HostAddress &Backend);

  /// \param Value is called after each crash.
  void setCrashListener(Listener Value) { OnCrash = std::move(Value); }

  /// \returns whether the run may start. CrashDecision::Start registers it as
  /// running.
  CrashDecision start(std::uint64_t RunId, const PeerCall &Call);

  /// The run has ended with an answer, a refusal or a cancellation.
  /// \param Completed the backend server returned a complete answer.
  void end(std::uint64_t RunId, bool Completed);

  /// The connection of the run was lost before it was answered.
  /// \param Started when the request was sent.
  void onRunLost(std::uint64_t RunId, Instant Started);

  /// Another incarnation of the backend server has replaced one that had not
  /// announced that it leaves.
  void onServerReplaced();

  /// \returns the known crashes, for a node that may not have received the
  /// reports. Their number is bounded; requests that are refused come first.
  PeerCrashes knownCrashes() const;

  /// Another node has reported crashes.
  void onPeerCrashes(const PeerCrashes &Crashes);

  /// \returns the reports that have not been returned before, for other nodes.
  PeerCrashes takeReports();

  /// \returns true if the request is suspected of too many crashes.
  bool refuses(std::uint64_t Fingerprint) const {
    return Guard.mustRefuse(Fingerprint, Time.now());
  }

  /// Periodic work, at least once a second.
  void tick();

private:
  /// \brief A run whose connection was lost.
  struct LostRun {
    std::uint64_t RunId = 0;
    Instant Started;
    Instant Lost;
  };

  /// Attempts a connection to the backend server.
  void probeBackend();
  /// \param Refused the connection was refused.
  void onProbed(bool Refused);
  /// The backend server has crashed with \p Runs in progress.
  void onCrash(std::span<const LostRun> Runs);

  EventLoop &Loop;
  const Clock &Time;
  HostAddress Backend;
  CrashGuard Guard;
  Listener OnCrash;
  /// Runs whose connection was lost since the last probe.
  std::vector<LostRun> LostRuns;
  /// Lost runs after which the backend server accepted a connection.
  std::vector<LostRun> UndecidedRuns;
  /// When the latest replacement of the backend server was noticed.
  std::optional<Instant> Replaced;
  bool ProbeInProgress = false;
};

} // namespace camphorpin

#endif
