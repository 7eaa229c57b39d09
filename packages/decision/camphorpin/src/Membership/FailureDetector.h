#ifndef CAMPHORPIN_SRC_MEMBERSHIP_FAILUREDETECTOR_H
#define CAMPHORPIN_SRC_MEMBERSHIP_FAILUREDETECTOR_H

#include "camphorpin/src/Membership/MembershipSettings.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace camphorpin {

/// \class ProbeOutcome
/// \brief The result of one probe.
struct ProbeOutcome {
  HostAddress Target;
  bool Answered = false;
  /// When the probe was sent.
  Instant SentAt;
};

/// \class FailureDetector
/// \brief Tracks the probes in flight and the health of the node itself.
///
/// Each failed probe raises the local health score and each acknowledgement
/// lowers it; 0 is healthy. A higher score lengthens all timeouts: a node that
/// is short of processor time or partitioned must not suspect all others.
class FailureDetector {
public:
  /// The score stays in [0, MaxScore].
  static constexpr std::size_t MaxScore = 8;

  explicit FailureDetector(const MembershipSettings &Settings)
      : Settings(Settings) {}

  /// Starts a probe of \p Target. \returns its sequence number.
  std::uint64_t start(HostAddress Target, Instant Now);

  /// Handles an acknowledgement. \returns the outcome of the probe, or nothing
  /// if it is not in flight: a late acknowledgement is ignored.
  std::optional<ProbeOutcome> acknowledged(std::uint64_t Sequence);

  /// \returns the probes whose direct timeout has passed since the last call;
  /// other members should be asked to probe their targets.
  std::vector<std::uint64_t> takeDirectTimeouts(Instant Now);

  /// \returns the probes that failed since the last call.
  std::vector<ProbeOutcome> takeFailed(Instant Now);

  /// \returns the target of a probe in flight.
  /// \pre the probe is in flight.
  HostAddress target(std::uint64_t Sequence) const;

  /// Drops all probes in flight and raises the score after a pause of the
  /// process.
  void notePause();

  /// \param Members number of members.
  /// \returns how long a suspect has to refute the suspicion.
  Duration suspicionTimeout(std::size_t Members) const;

  /// \returns the local health score, 0 being healthy.
  std::size_t score() const { return Score; }

private:
  struct Probe {
    HostAddress Target;
    Instant SentAt;
    Instant DirectDeadline;
    Instant Deadline;
    /// takeDirectTimeouts() has returned this probe.
    bool DirectTimeoutReported = false;
  };

  void raiseScore();

  MembershipSettings Settings;
  std::map<std::uint64_t, Probe> Probes;
  std::uint64_t NextSequence = 1;
  std::size_t Score = 0;
};

} // namespace camphorpin

#endif
