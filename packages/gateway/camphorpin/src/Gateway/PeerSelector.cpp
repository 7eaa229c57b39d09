#include "camphorpin/src/Gateway/PeerSelector.h"

#include <algorithm>
#include <cmath>

namespace camphorpin {

namespace {

/// Factor by which the weight of latency and failures falls with each less
/// urgent rank.
constexpr double RankWeight = 0.4;
/// Cost of crossing a zone boundary, per request and per byte, on the scale on
/// which a latency equal to the objective costs 1. At the operators' prices for
/// cross-zone traffic and late answers, a late answer of the most urgent rank
/// costs about as much as 25 KB of cross-zone traffic.
constexpr double OtherZoneCost = 0.01;
constexpr double OtherZoneCostPerByte = 0.03 / 1000;
/// Cost of a full queue. It is reached when the queue holds QueueSaturation
/// times the slots of the server, and rises linearly up to there. It exceeds
/// the cost of crossing zones, so that requests leave a full server for one
/// with free slots.
constexpr double QueueCost = 0.25;
constexpr double QueueSaturation = 0.25;
/// Cost of a node whose server fails all requests. It exceeds the cost of a
/// late answer, because the request is lost or must be retried.
constexpr double FailureCost = 1.5;
/// Half-life of the reported failure rate, so that a server that gets no
/// requests is tried again.
constexpr double FailureHalfLifeMillis = 2000;
/// Round-trip time to another zone of the region.
constexpr double OtherZoneMillis = 3.0;
/// Maximum random relative increase of the cost, so that nodes with the same
/// information make different choices.
constexpr double Jitter = 0.1;
/// Service time assumed before any has been reported.
constexpr double UnknownServiceMillis = 50.0;

/// Estimates the service time of a route at nodes that have not reported one.
class ServiceTimeEstimator {
public:
  explicit ServiceTimeEstimator(std::span<const PeerCandidate> Candidates) {
    double ServiceTimeSum = 0;
    double RouteTimeSum = 0;
    double ServiceTimeSumWithRoute = 0;
    double KnownCount = 0;
    for (const PeerCandidate &Item : Candidates) {
      const double Millis = Item.Status.ServiceTime.toMillis();
      if (Millis <= 0)
        continue;
      ServiceTimeSum += Millis;
      KnownCount += 1;
      if (Item.RouteTime > Duration()) {
        RouteTimeSum += Item.RouteTime.toMillis();
        ServiceTimeSumWithRoute += Millis;
      }
    }
    if (KnownCount > 0)
      MeanMillis = ServiceTimeSum / KnownCount;
    if (ServiceTimeSumWithRoute > 0)
      RouteRatio = RouteTimeSum / ServiceTimeSumWithRoute;
  }

  /// \returns the service time of the route at the node, in milliseconds.
  double at(const PeerCandidate &Item) const {
    if (Item.RouteTime > Duration())
      return Item.RouteTime.toMillis();
    const double Millis = Item.Status.ServiceTime.toMillis();
    return (Millis > 0 ? Millis : MeanMillis) * RouteRatio;
  }

private:
  double MeanMillis = UnknownServiceMillis;
  /// Ratio of the route's service time to that of all routes.
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
  const BackendStatus &Status = Candidate.Status;
  const double Utilization = utilization(Candidate);
  const double MeanMillis = Status.ServiceTime > Duration()
                                ? Status.ServiceTime.toMillis()
                                : RouteMillis;
  const double QueueMillis =
      Utilization > 1 ? (Utilization - 1) * MeanMillis : 0;
  const double NetworkMillis = Candidate.SameZone ? 0 : OtherZoneMillis;
  // Up to full utilization the latency grows slowly, by half of the service
  // time; beyond it, requests wait for a slot.
  return RouteMillis * (1 + 0.5 * std::min(Utilization, 1.0)) + QueueMillis +
         NetworkMillis;
}

double PeerSelector::cost(const PeerCandidate &Candidate, double RouteMillis,
                          const RouteRequirements &Requirements) {
  const double LatencyRatio = expectedMillis(Candidate, RouteMillis) /
                              std::max(1.0, Requirements.Objective.toMillis());
  const double Queue =
      std::clamp((utilization(Candidate) - 1) / QueueSaturation, 0.0, 1.0);
  const double CrossZone =
      Candidate.SameZone
          ? 0
          : OtherZoneCost + OtherZoneCostPerByte * Requirements.Bytes;
  const double FailureRate =
      Candidate.Status.FailureRate *
      std::exp2(-Candidate.StatusAge.toMillis() / FailureHalfLifeMillis);
  const double Risk = LatencyRatio * LatencyRatio + FailureCost * FailureRate;
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
                        (1 + Jitter * RandomSource.uniform01());
    if (!Best || Cost < BestCost) {
      Best = Index;
      BestCost = Cost;
    }
  }
  return Best;
}

} // namespace camphorpin
