#include "camphorpin/src/Gateway/NestedCallDetector.h"

#include <algorithm>
#include <iterator>

namespace camphorpin {

namespace {

/// Tolerance between the deadline of a call and that of its run. Deadlines are
/// transmitted in whole milliseconds, and the call takes some time to arrive.
constexpr Duration MaxLead = Duration::fromMillis(1.5);
constexpr Duration MaxLag = Duration::fromMillis(1.6);
/// The density of run deadlines is estimated over this span on both sides.
constexpr Duration DensityRadius = Duration::millis(50);
/// Weight of the latest request in the exponential moving average.
constexpr double SmoothingWeight = 0.02;
/// Minimum excess match rate at which a route is classified as nested calls. A
/// run with most of its time left may set deadlines of its own for its calls,
/// so a third to a half of a nested route's requests match. On callers' routes
/// 1 in 100 does.
constexpr double MinExcessMatchRate = 0.1;
/// Above this probability of a chance match, a match carries no information,
/// and the rate learned under lower load is kept.
constexpr double MaxChanceMatchProbability = 0.4;

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

double NestedCallDetector::chanceMatchProbability(Instant Deadline) const {
  const auto First = Deadlines.lower_bound(Deadline - DensityRadius);
  const auto Last = Deadlines.upper_bound(Deadline + DensityRadius);
  const double NearbyDeadlines =
      static_cast<double>(std::distance(First, Last));
  const double ToleranceFraction =
      (MaxLead + MaxLag).toMillis() / (DensityRadius * 2).toMillis();
  return NearbyDeadlines * ToleranceFraction;
}

bool NestedCallDetector::onRequest(const std::string &Route, Instant Deadline) {
  double &Value = ExcessMatchRate[Route];
  const double Chance = chanceMatchProbability(Deadline);
  if (Chance <= MaxChanceMatchProbability) {
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
