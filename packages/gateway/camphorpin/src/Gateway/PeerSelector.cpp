#include "camphorpin/src/Gateway/PeerSelector.h"

#include <algorithm>

namespace camphorpin {

namespace {

/// Handicap of another availability zone: its round trip and the price of the
/// bytes that cross.
constexpr double OtherZoneFactor = 1.7;
constexpr double OtherZoneMillis = 4.0;
/// Random part of the estimate, so that nodes with the same view spread.
constexpr double Jitter = 0.1;
/// Service time that is assumed before any has been seen.
constexpr double UnknownServiceMillis = 50.0;

} // namespace

double PeerSelector::expectedMillis(const PeerCandidate &Candidate,
                                    double DefaultServiceMillis) {
  const GateStatus &Status = Candidate.Status;
  const double Known = Status.ServiceTime.toMillis();
  const double Service = Known > 0 ? Known : DefaultServiceMillis;
  const double Busy =
      std::max<double>(Status.Running + Status.Queued,
                       static_cast<double>(Candidate.Outstanding));
  const double Limit = std::max<double>(1, Status.Limit);
  const double Use = Candidate.StatusKnown ? Busy / Limit : 0;
  // Below full use a fuller server is only a little worse; above it, requests
  // wait for a slot.
  const double Waiting = Use > 1 ? (Use - 1) * Service : 0;
  double Result = Service * (1 + 0.5 * std::min(Use, 1.0)) + Waiting;
  if (!Candidate.SameZone)
    Result = Result * OtherZoneFactor + OtherZoneMillis;
  return Result;
}

std::optional<std::size_t>
PeerSelector::choose(std::span<const PeerCandidate> Candidates) {
  double Sum = 0;
  std::size_t Known = 0;
  for (const PeerCandidate &Candidate : Candidates) {
    if (Candidate.Status.ServiceTime > Duration()) {
      Sum += Candidate.Status.ServiceTime.toMillis();
      ++Known;
    }
  }
  const double Default =
      Known > 0 ? Sum / static_cast<double>(Known) : UnknownServiceMillis;
  std::optional<std::size_t> Best;
  double BestCost = 0;
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index) {
    const PeerCandidate &Candidate = Candidates[Index];
    if (!Candidate.Usable || Candidate.Tried ||
        (Candidate.StatusKnown && !Candidate.Status.Available))
      continue;
    const double Cost =
        expectedMillis(Candidate, Default) * (1 + Jitter * Source.unit());
    if (!Best || Cost < BestCost) {
      Best = Index;
      BestCost = Cost;
    }
  }
  return Best;
}

} // namespace camphorpin
