#include "camphorpin/src/Gateway/RouteLimiter.h"

#include <algorithm>

namespace camphorpin {

namespace {

/// Factor of the bound at a failed dependency.
constexpr double DecreaseFactor = 0.92;
/// Failures closer together than this have the same cause and count once.
constexpr Duration DecreaseInterval = Duration::millis(25);
/// Runs that are always allowed, so that a recovery is noticed.
constexpr double MinBound = 2;
/// Relative increase of the bound at a success, for rank 0. Together with the
/// decrease it sets the part of failed runs at which the bound rests, the same
/// for routes of any size.
constexpr double IncreaseRate = 0.03;
/// How much less a route regains for each rank that it is less urgent.
constexpr double RankPenalty = 0.3;
/// Time without a failed dependency after which it counts as recovered, so that
/// a few runs at a low bound need not raise it step by step. It is longer than
/// the pauses between the failures of an overload.
constexpr Duration RecoveryPeriod = Duration::millis(1500);
/// Factor of the increase after that time.
constexpr double RecoveryIncreaseFactor = 12;
/// A bound this far above what is active has no effect and is dropped.
constexpr double SlackFactor = 3;
constexpr double SlackRuns = 8;

} // namespace

bool RouteLimiter::admit(const std::string &Route, std::uint8_t Rank,
                         bool Nested) {
  State &Item = Routes[Route];
  Item.Rank = Rank;
  if (!Nested && Item.Bound > 0 && Item.Active + 1 > Item.Bound)
    return false;
  ++Item.Active;
  return true;
}

void RouteLimiter::end(const std::string &Route, RunOutcome Outcome,
                       Instant Now) {
  State &Item = Routes[Route];
  const double Active = Item.Active;
  if (Item.Active > 0)
    --Item.Active;
  if (Outcome == RunOutcome::DependencyFailed) {
    if (Now - Item.LastDecrease < DecreaseInterval)
      return;
    Item.LastDecrease = Now;
    const double Base = Item.Bound > 0 ? std::min(Item.Bound, Active) : Active;
    Item.Bound = std::max(MinBound, Base * DecreaseFactor);
    return;
  }
  if (Outcome == RunOutcome::Succeeded && Item.Bound > 0) {
    const double Factor =
        Now - Item.LastDecrease >= RecoveryPeriod ? RecoveryIncreaseFactor : 1;
    Item.Bound *= 1 + Factor * IncreaseRate / (1 + RankPenalty * Item.Rank);
    if (Item.Bound > Active * SlackFactor + SlackRuns)
      Item.Bound = 0;
  }
}

double RouteLimiter::bound(const std::string &Route) const {
  const auto Found = Routes.find(Route);
  return Found == Routes.end() ? 0 : Found->second.Bound;
}

} // namespace camphorpin
