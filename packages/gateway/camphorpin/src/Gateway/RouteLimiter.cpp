#include "camphorpin/src/Gateway/RouteLimiter.h"

#include <algorithm>

namespace camphorpin {

namespace {

/// Factor applied to the limit when a dependency fails.
constexpr double DecreaseFactor = 0.92;
/// Failures closer together than this have the same cause and count once.
constexpr Duration DecreaseInterval = Duration::millis(25);
/// Minimum limit, so that a recovery is detected.
constexpr double MinLimit = 2;
/// Relative increase of the limit per success, for rank 0. Together with
/// DecreaseFactor it determines the fraction of failed runs at which the limit
/// is stable, independent of the size of the route.
constexpr double IncreaseRate = 0.03;
/// Reduction of the increase per level of less urgent rank.
constexpr double RankPenalty = 0.3;
/// Time without a failed dependency after which the dependency counts as
/// recovered, so that a few runs at a low limit need not raise it step by step.
/// It is longer than the gaps between the failures of an overload.
constexpr Duration RecoveryPeriod = Duration::millis(1500);
/// Factor of the increase after RecoveryPeriod.
constexpr double RecoveryIncreaseFactor = 12;
/// A limit this far above the active runs has no effect and is dropped.
constexpr double SlackFactor = 3;
constexpr double SlackRuns = 8;

} // namespace

bool RouteLimiter::admit(const std::string &Route, std::uint8_t Rank,
                         bool Nested) {
  State &Item = Routes[Route];
  Item.Rank = Rank;
  if (!Nested && Item.Limit > 0 && Item.Active + 1 > Item.Limit)
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
    const double Base = Item.Limit > 0 ? std::min(Item.Limit, Active) : Active;
    Item.Limit = std::max(MinLimit, Base * DecreaseFactor);
    return;
  }
  if (Outcome == RunOutcome::Succeeded && Item.Limit > 0) {
    const double Factor =
        Now - Item.LastDecrease >= RecoveryPeriod ? RecoveryIncreaseFactor : 1;
    Item.Limit *= 1 + Factor * IncreaseRate / (1 + RankPenalty * Item.Rank);
    if (Item.Limit > Active * SlackFactor + SlackRuns)
      Item.Limit = 0;
  }
}

double RouteLimiter::limit(const std::string &Route) const {
  const auto Found = Routes.find(Route);
  return Found == Routes.end() ? 0 : Found->second.Limit;
}

} // namespace camphorpin
