#ifndef CAMPHORPIN_SRC_CRASH_CRASHGUARD_H
#define CAMPHORPIN_SRC_CRASH_CRASHGUARD_H

#include "camphorpin/Core.h"
#include "camphorpin/src/Crash/CrashReport.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace camphorpin {

/// \class CrashOptions
/// \brief Limits and periods of the crash guard.
struct CrashOptions {
  /// How long a suspicion and a refusal last.
  Duration Retention = Duration::seconds(600);
  /// Crashes with the request running after which it is refused.
  std::uint8_t MaxCrashes = 2;
  /// Maximum number of fingerprints. When full, the one with the fewest crashes
  /// is evicted, the oldest of these first, so that a crash of a server with
  /// many running requests cannot displace a refusal.
  std::size_t MaxSuspects = 1024;
  /// Number of times that a node forwards a report.
  std::uint8_t Transmissions = 8;
};

/// \brief Whether a request may start on the local backend server.
enum class CrashDecision : std::uint8_t {
  Start,
  /// Another suspect is running here. Hold the request, or refuse it with
  /// verdict not-run.
  Defer,
  /// Refuse it with verdict not-run and RefusalReason::CrashSuspect.
  Refuse,
};

/// \class CrashGuard
/// \brief Limits the crashes that one request can cause. See docs/design.md,
/// section 4.7.
///
/// If a request is sent P more times before the crash reports arrive, it
/// crashes at most MaxCrashes + P backend servers.
///
/// Bounds: CrashOptions::MaxSuspects fingerprints and one record for each
/// running or undecided request.
class CrashGuard {
public:
  CrashGuard(const ProcessId &Self, const CrashOptions &Options)
      : Self(Self), Options(Options) {}

  /// \param CrashCount RequestContext::CrashCount, as known to the sender.
  /// \returns whether the request may start; Start counts it as running.
  CrashDecision start(std::uint64_t RunId, std::uint64_t Fingerprint,
                      std::uint8_t CrashCount, Instant Now);

  std::uint8_t maxCrashes() const { return Options.MaxCrashes; }

  /// \returns the known crashes of the request; 0 once it is cleared or the
  /// crashes have expired. Sent along with its calls.
  std::uint8_t crashCount(std::uint64_t Fingerprint, Instant Now) const;

  /// \returns true if the request has to be refused anywhere in the fleet.
  bool mustRefuse(std::uint64_t Fingerprint, Instant Now) const;

  /// The run has ended.
  /// \param Completed the backend server returned a complete answer.
  void end(std::uint64_t RunId, bool Completed, Instant Now);

  /// The local backend server has crashed: it lost all its connections while
  /// this node is alive. All runs have ended.
  void onBackendCrash(Instant Now);

  /// The connection of one run was lost before its answer. The backend server
  /// may have crashed and been restarted before any node detected it, so the
  /// loss is counted as a crash, unless onBackendCrash() has already counted it
  /// for this run. Runs that were in progress together are lost in one crash.
  void onRunLost(std::uint64_t RunId, Instant Now);

  /// The connection of one run was lost before its answer, and it is not known
  /// yet whether the backend server has crashed. The run no longer counts as
  /// running; onRunLost() or end() decides.
  void onRunUndecided(std::uint64_t RunId);

  void onReport(const CrashReport &Report, Instant Now);

  /// \returns up to \p Limit reports to forward, least often forwarded first.
  std::vector<CrashReport> takeReports(std::size_t Limit, Instant Now);

  /// \returns up to \p Limit reports for a node that may have received none:
  /// first those of requests that must be refused, then the latest ones.
  std::vector<CrashReport> knownReports(std::size_t Limit, Instant Now) const;

  void tick(Instant Now);

  std::size_t suspectCount() const { return Suspects.size(); }

private:
  struct Suspect {
    /// Ids of distinct crashes, at most MaxCrashes.
    std::vector<std::uint64_t> CrashIds;
    Instant LastCrash;
    /// A completed run cleared the suspicion.
    bool Cleared = false;
    std::uint8_t TransmissionsLeft = 0;
  };
  struct Run {
    std::uint64_t Fingerprint = 0;
    bool IsSuspect = false;
    /// Number of crashes that had been detected when the run started.
    std::uint64_t EarlierCrashes = 0;
  };

  /// Removes the record of a run that is running or undecided.
  std::optional<Run> take(std::uint64_t RunId);
  /// \returns the id of the first crash after the start of \p Record.
  std::uint64_t crashIdFor(const Run &Record);
  Suspect *findOrInsert(std::uint64_t Fingerprint);
  void addCrash(std::uint64_t Fingerprint, std::uint64_t CrashId,
                Instant CrashTime);
  bool expired(const Suspect &Record, Instant Now) const;
  bool isSuspectRunning(Instant Now) const;

  ProcessId Self;
  CrashOptions Options;
  /// Number of detected crashes.
  std::uint64_t DetectedCrashes = 0;
  std::map<std::uint64_t, Suspect> Suspects;
  std::map<std::uint64_t, Run> Running;
  std::map<std::uint64_t, Run> Undecided;
};

} // namespace camphorpin

#endif
