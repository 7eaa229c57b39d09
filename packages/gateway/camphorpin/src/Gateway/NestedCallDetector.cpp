#include "camphorpin/src/Gateway/NestedCallDetector.h"

#include <algorithm>
#include <iterator>

namespace camphorpin {

namespace {

/// How far the end of a call lies from that of its run: deadlines are told in
/// whole milliseconds, and the call takes a moment to arrive.
constexpr Duration MaxLead = Duration::fromMillis(1.5);
constexpr Duration MaxLag = Duration::fromMillis(1.6);
/// The density of the ends of runs is taken from this span on both sides.
constexpr Duration DensityRadius = Duration::millis(50);
/// Weight of the latest request in the smoothed excess.
constexpr double SmoothingWeight = 0.02;
/// Part of the requests that must match beyond chance. Calls of a run that has
/// most of its time left may have deadlines of their own, so that a third to a
/// half of a called route's requests match; of callers' routes 1 in 100 do.
constexpr double MinExcessMatchRate = 0.1;
/// Where a match is more likely by chance than this, it tells nothing, and what
/// was learnt under less load stays.
constexpr double MaxMatchProbability = 0.4;

} // namespace

void NestedCallDetector::onRunStart(std::uint64_t Run, Instant Deadline) {
  Runs[Run] = Deadline;
  Deadlines.insert(Deadline);
}

void NestedCallDetector::onRunEnd(std::uint64_t Run) {
  const auto Found = Runs.find(Run);
  if (Found == Runs.end())
    return;
  Deadlines.erase(Deadlines.find(Found->second));
  Runs.erase(Found);
}

bool NestedCallDetector::matchesRunDeadline(Instant Deadline) const {
  const auto First = Deadlines.lower_bound(Deadline - MaxLead);
  return First != Deadlines.end() && *First <= Deadline + MaxLag;
}

double NestedCallDetector::matchProbability(Instant Deadline) const {
  const auto First = Deadlines.lower_bound(Deadline - DensityRadius);
  const auto Last = Deadlines.upper_bound(Deadline + DensityRadius);
  const double Near = static_cast<double>(std::distance(First, Last));
  const double Part =
      (MaxLead + MaxLag).toMillis() / (DensityRadius * 2).toMillis();
  return Near * Part;
}

bool NestedCallDetector::onRequest(const std::string &Route, Instant Deadline) {
  double &Value = ExcessMatchRate[Route];
  const double Chance = matchProbability(Deadline);
  if (Chance <= MaxMatchProbability) {
    const double Match = matchesRunDeadline(Deadline) ? 1 : 0;
    Value += SmoothingWeight * (Match - Chance - Value);
  }
  return Value > MinExcessMatchRate;
}

bool NestedCallDetector::detectsNestedCalls() const {
  return std::any_of(
      ExcessMatchRate.begin(), ExcessMatchRate.end(),
      [](const auto &Entry) { return Entry.second > MinExcessMatchRate; });
}

} // namespace camphorpin
