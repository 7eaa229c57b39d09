#include "camphorpin/src/Membership/FailureDetector.h"

#include <algorithm>
#include <cmath>

namespace camphorpin {

std::uint64_t FailureDetector::start(HostAddress Target, Instant Now) {
  const double TimeoutFactor = 1.0 + static_cast<double>(Score);
  const std::uint64_t Sequence = NextSequence++;
  Probes.emplace(Sequence, Probe{Target, Now,
                                 Now + Settings.DirectTimeout * TimeoutFactor,
                                 Now + Settings.ProbePeriod * TimeoutFactor});
  return Sequence;
}

std::optional<ProbeOutcome>
FailureDetector::acknowledged(std::uint64_t Sequence) {
  const auto Found = Probes.find(Sequence);
  if (Found == Probes.end())
    return std::nullopt;
  const ProbeOutcome Outcome{Found->second.Target, true, Found->second.SentAt};
  Probes.erase(Found);
  if (Score > 0)
    --Score;
  return Outcome;
}

std::vector<std::uint64_t> FailureDetector::takeDirectTimeouts(Instant Now) {
  std::vector<std::uint64_t> TimedOut;
  for (auto &[Sequence, Current] : Probes) {
    if (Current.DirectTimeoutReported || Now < Current.DirectDeadline)
      continue;
    Current.DirectTimeoutReported = true;
    TimedOut.push_back(Sequence);
  }
  return TimedOut;
}

std::vector<ProbeOutcome> FailureDetector::takeFailed(Instant Now) {
  std::vector<ProbeOutcome> Failed;
  for (auto Position = Probes.begin(); Position != Probes.end();) {
    if (Now < Position->second.Deadline) {
      ++Position;
      continue;
    }
    Failed.push_back({Position->second.Target, false, Position->second.SentAt});
    Position = Probes.erase(Position);
    raiseScore();
  }
  return Failed;
}

HostAddress FailureDetector::target(std::uint64_t Sequence) const {
  return Probes.at(Sequence).Target;
}

void FailureDetector::notePause() {
  Probes.clear();
  raiseScore();
  raiseScore();
}

Duration FailureDetector::suspicionTimeout(std::size_t Members) const {
  // Below 10 members the timeout does not get shorter.
  constexpr std::size_t MinMembers = 10;
  const double Decades =
      std::log10(static_cast<double>(std::max(Members, MinMembers)));
  return Settings.SuspicionPerDecade * Decades *
         (1.0 + static_cast<double>(Score));
}

void FailureDetector::raiseScore() { Score = std::min(Score + 1, MaxScore); }

} // namespace camphorpin
