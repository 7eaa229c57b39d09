#ifndef CAMPHORPIN_SRC_ROUTING_PEERSTATS_H
#define CAMPHORPIN_SRC_ROUTING_PEERSTATS_H

#include "camphorpin/Core.h"

#include <cstddef>
#include <cstdint>

namespace camphorpin {

/// \brief How a call to a peer ended, as its calling node sees it.
enum class PeerCallOutcome : std::uint8_t {
  /// A complete answer was received.
  Answered,
  /// The peer's node or backend server refused the call without running it.
  Refused,
  /// The call failed, timed out or lost its connection.
  Failed,
  /// The caller gave up; no information about the peer.
  Cancelled,
};

/// \class PeerStats
/// \brief What one node observes of one backend server. Load reports of the
/// backend server are not used, because they lag or mislead.
class PeerStats {
public:
  /// Time until a new backend server receives its full share of calls.
  static constexpr Duration SlowStartDuration = Duration::seconds(10);
  /// Backoff after the first failure; doubles with each further one.
  static constexpr Duration InitialBackoff = Duration::millis(200);
  static constexpr Duration MaxBackoff = Duration::seconds(10);

  /// \param FirstSeen start of the slow start; a time at least
  /// SlowStartDuration ago for a backend server that is not new.
  explicit PeerStats(Instant FirstSeen) : FirstSeen(FirstSeen) {}

  void onCallStarted(Instant Now);
  void onCallEnded(PeerCallOutcome Outcome, Duration Latency, Instant Now);

  /// \returns false during the backoff after failures. Afterwards one call at a
  /// time probes the peer until one succeeds.
  bool isAvailable(Instant Now) const;

  /// \returns the expected cost of one more call; lower is better. It is the
  /// smoothed latency in ms times the calls in flight, increased by refusals
  /// and during slow start.
  double cost(Instant Now) const;

  std::size_t inFlight() const { return InFlight; }
  double smoothedLatencyMs() const { return LatencyMs; }
  double refusalRatio() const { return RefusalRatio; }

private:
  double slowStartWeight(Instant Now) const;

  Instant FirstSeen;
  Instant BackoffEnd;
  std::size_t InFlight = 0;
  std::size_t ConsecutiveFailures = 0;
  double LatencyMs = 1.0;
  double RefusalRatio = 0.0;
};

} // namespace camphorpin

#endif
