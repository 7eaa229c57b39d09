#include "camphorpin/src/Gateway/PeerSelector.h"

#include <algorithm>
#include <cmath>

namespace camphorpin {

namespace {

/// Weight of the risk of being late for each rank, as a part of that of the
/// next more urgent one.
constexpr double RankWeight = 0.4;
/// Cost of leaving the availability zone and of each byte that does, on the
/// scale on which a latency as long as the objective costs 1. At the users'
/// prices a late answer of the most urgent rank costs about as much as 25 KB.
constexpr double OtherZoneCost = 0.01;
constexpr double OtherZoneCostPerByte = 0.03 / 1000;
/// Cost of a gate whose queue is as long as QueueSaturation of its slots or
/// longer. It exceeds that of leaving the zone, so that a full server is left
/// for one with room.
constexpr double QueueCost = 0.25;
constexpr double QueueSaturation = 0.25;
/// Cost of a gate whose server fails all its runs: more than being late,
/// because a run is lost or must be repeated.
constexpr double FaultCost = 1.5;
/// Time in which knowledge about faults loses half its weight, so that a server
/// that gets nothing is tried again.
constexpr double FaultHalfLifeMillis = 2000;
/// A round trip to another zone of the region.
constexpr double OtherZoneMillis = 3.0;
/// Random part of the cost, so that nodes with the same view spread.
constexpr double Jitter = 0.1;
/// Service time that is assumed before any has been seen.
constexpr double UnknownServiceMillis = 50.0;

/// Service times of one route at gates that have told none.
class ServiceTimeEstimator {
public:
  explicit ServiceTimeEstimator(std::span<const PeerCandidate> Candidates) {
    double All = 0;
    double RouteSum = 0;
    double OverallSum = 0;
    double Known = 0;
    for (const PeerCandidate &Item : Candidates) {
      const double Millis = Item.Status.ServiceTime.toMillis();
      if (Millis <= 0)
        continue;
      All += Millis;
      Known += 1;
      if (Item.RouteTime > Duration()) {
        RouteSum += Item.RouteTime.toMillis();
        OverallSum += Millis;
      }
    }
    if (Known > 0)
      MeanMillis = All / Known;
    if (OverallSum > 0)
      RouteRatio = RouteSum / OverallSum;
  }

  /// \returns the service time of the route at the gate, in milliseconds.
  double at(const PeerCandidate &Item) const {
    if (Item.RouteTime > Duration())
      return Item.RouteTime.toMillis();
    const double Millis = Item.Status.ServiceTime.toMillis();
    return (Millis > 0 ? Millis : MeanMillis) * RouteRatio;
  }

private:
  double MeanMillis = UnknownServiceMillis;
  /// The route's service time as a part of that of all routes.
  double RouteRatio = 1;
};

} // namespace

double PeerSelector::utilization(const PeerCandidate &Candidate) {
  if (!Candidate.StatusKnown)
    return 0;
  const double Busy =
      std::max<double>(Candidate.Status.Running + Candidate.Status.Queued,
                       static_cast<double>(Candidate.Outstanding));
  return Busy / std::max<double>(1, Candidate.Status.Limit);
}

double PeerSelector::expectedMillis(const PeerCandidate &Candidate,
                                    double RouteMillis) {
  const GateStatus &Status = Candidate.Status;
  const double Use = utilization(Candidate);
  // Below full use a fuller server is only a little worse; above it, requests
  // wait for a slot.
  const double MeanMillis = Status.ServiceTime > Duration()
                                ? Status.ServiceTime.toMillis()
                                : RouteMillis;
  const double Waiting = Use > 1 ? (Use - 1) * MeanMillis : 0;
  const double Travel = Candidate.SameZone ? 0 : OtherZoneMillis;
  return RouteMillis * (1 + 0.5 * std::min(Use, 1.0)) + Waiting + Travel;
}

double PeerSelector::cost(const PeerCandidate &Candidate, double RouteMillis,
                          const RouteRequirements &Requirements) {
  const double Late = expectedMillis(Candidate, RouteMillis) /
                      std::max(1.0, Requirements.Objective.toMillis());
  const double Queue =
      std::clamp((utilization(Candidate) - 1) / QueueSaturation, 0.0, 1.0);
  const double CrossZone =
      Candidate.SameZone
          ? 0
          : OtherZoneCost + OtherZoneCostPerByte * Requirements.Bytes;
  const double Fault =
      Candidate.Status.FaultPart *
      std::exp2(-Candidate.StatusAge.toMillis() / FaultHalfLifeMillis);
  const double Risk = Late * Late + FaultCost * Fault;
  return std::pow(RankWeight, Requirements.Rank) * Risk + QueueCost * Queue +
         CrossZone;
}

std::optional<std::size_t>
PeerSelector::choose(std::span<const PeerCandidate> Candidates,
                     const RouteRequirements &Requirements) {
  const std::optional<std::size_t> Best =
      lowestCost(Candidates, Requirements, /*Reconnecting=*/false);
  return Best ? Best
              : lowestCost(Candidates, Requirements, /*Reconnecting=*/true);
}

std::optional<std::size_t>
PeerSelector::lowestCost(std::span<const PeerCandidate> Candidates,
                         const RouteRequirements &Requirements,
                         bool Reconnecting) {
  const ServiceTimeEstimator Times(Candidates);
  std::optional<std::size_t> Best;
  double BestCost = 0;
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index) {
    const PeerCandidate &Candidate = Candidates[Index];
    if (!Candidate.Usable || Candidate.Tried ||
        Candidate.Reconnecting != Reconnecting ||
        (Candidate.StatusKnown && !Candidate.Status.Available))
      continue;
    const double Cost = cost(Candidate, Times.at(Candidate), Requirements) *
                        (1 + Jitter * Source.unit());
    if (!Best || Cost < BestCost) {
      Best = Index;
      BestCost = Cost;
    }
  }
  return Best;
}

} // namespace camphorpin
