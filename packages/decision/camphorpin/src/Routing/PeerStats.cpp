#include "camphorpin/src/Routing/PeerStats.h"

#include <algorithm>
#include <cassert>

namespace camphorpin {

namespace {

constexpr double LatencySmoothing = 0.1;
constexpr double RefusalSmoothing = 0.1;
// A peer that refuses everything costs as much as one that is ten times slower.
constexpr double RefusalPenalty = 9.0;
constexpr double MinSlowStartWeight = 0.1;
constexpr std::size_t MaxDoublings = 6;

double ewma(double Old, double New, double Share) {
  return Old + (New - Old) * Share;
}

} // namespace

void PeerStats::onCallStarted(Instant) { ++InFlight; }

void PeerStats::onCallEnded(PeerCallOutcome Outcome, Duration Latency,
                            Instant Now) {
  assert(InFlight > 0 && "a call ended that was not started");
  --InFlight;
  if (Outcome == PeerCallOutcome::Cancelled)
    return;
  if (Outcome == PeerCallOutcome::Failed) {
    const std::size_t Doublings = std::min(ConsecutiveFailures, MaxDoublings);
    ++ConsecutiveFailures;
    const Duration Backoff =
        InitialBackoff * static_cast<double>(std::size_t{1} << Doublings);
    BackoffEnd = Now + std::min(Backoff, MaxBackoff);
    return;
  }
  ConsecutiveFailures = 0;
  const bool Refused = Outcome == PeerCallOutcome::Refused;
  RefusalRatio = ewma(RefusalRatio, Refused ? 1.0 : 0.0, RefusalSmoothing);
  // Refusals are fast; including their latency would attract further calls.
  if (!Refused)
    LatencyMs = ewma(LatencyMs, Latency.toMillis(), LatencySmoothing);
}

bool PeerStats::isAvailable(Instant Now) const {
  if (ConsecutiveFailures == 0)
    return true;
  return Now >= BackoffEnd && InFlight == 0;
}

double PeerStats::cost(Instant Now) const {
  const double Load = static_cast<double>(InFlight) + 1.0;
  const double Penalty = 1.0 + RefusalPenalty * RefusalRatio;
  return Load * LatencyMs * Penalty / slowStartWeight(Now);
}

double PeerStats::slowStartWeight(Instant Now) const {
  const double Progress =
      (Now - FirstSeen).toMillis() / SlowStartDuration.toMillis();
  return std::clamp(Progress, MinSlowStartWeight, 1.0);
}

} // namespace camphorpin
