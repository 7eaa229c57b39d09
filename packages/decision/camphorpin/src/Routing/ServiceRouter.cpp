#include "camphorpin/src/Routing/ServiceRouter.h"

#include <algorithm>

namespace camphorpin {

void ServiceRouter::update(std::span<const MemberRecord> Members, Instant Now) {
  std::vector<Peer> Next;
  for (const MemberRecord &Member : choosePeerSubset(Self, Members)) {
    const Peer *Known = find(Member.Process);
    // At the first update that contains members, all are new to this node, but
    // not to the fleet; only members that appear later are in slow start.
    const Instant FirstSeen =
        HadPeers ? Now : Now - PeerStats::SlowStartDuration;
    Next.push_back(Known != nullptr
                       ? *Known
                       : Peer{Member.Process, Member.Zone == Self.Zone,
                              PeerStats(FirstSeen)});
  }
  Peers = std::move(Next);
  HadPeers = HadPeers || !Peers.empty();
}

std::optional<ProcessId>
ServiceRouter::pick(std::span<const ProcessId> Excluded, Random &Source,
                    Instant Now) const {
  std::vector<const Peer *> SameZonePeers;
  std::vector<const Peer *> OtherZonePeers;
  for (const Peer &Candidate : Peers) {
    const bool Failed = std::find(Excluded.begin(), Excluded.end(),
                                  Candidate.Process) != Excluded.end();
    if (!Failed && Candidate.Stats.isAvailable(Now))
      (Candidate.IsSameZone ? SameZonePeers : OtherZonePeers)
          .push_back(&Candidate);
  }
  const Peer *SameZoneBest = pickBetterOfTwo(SameZonePeers, Source, Now);
  const Peer *OtherZoneBest = pickBetterOfTwo(OtherZonePeers, Source, Now);
  if (SameZoneBest == nullptr && OtherZoneBest == nullptr)
    return std::nullopt;
  if (SameZoneBest == nullptr)
    return OtherZoneBest->Process;
  const bool OtherZoneIsBetter =
      OtherZoneBest != nullptr &&
      SameZoneBest->Stats.cost(Now) >
          CrossZoneCostFactor * OtherZoneBest->Stats.cost(Now);
  return OtherZoneIsBetter ? OtherZoneBest->Process : SameZoneBest->Process;
}

void ServiceRouter::onCallStarted(const ProcessId &Peer, Instant Now) {
  if (ServiceRouter::Peer *Known = find(Peer))
    Known->Stats.onCallStarted(Now);
}

void ServiceRouter::onCallEnded(const ProcessId &Peer, PeerCallOutcome Outcome,
                                Duration Latency, Instant Now) {
  ServiceRouter::Peer *Known = find(Peer);
  // The statistics of a peer that left the subset and returned do not include
  // its earlier calls.
  if (Known != nullptr && Known->Stats.inFlight() > 0)
    Known->Stats.onCallEnded(Outcome, Latency, Now);
}

const PeerStats *ServiceRouter::stats(const ProcessId &Peer) const {
  for (const ServiceRouter::Peer &Candidate : Peers)
    if (Candidate.Process == Peer)
      return &Candidate.Stats;
  return nullptr;
}

const ServiceRouter::Peer *
ServiceRouter::pickBetterOfTwo(std::span<const Peer *const> Candidates,
                               Random &Source, Instant Now) const {
  if (Candidates.empty())
    return nullptr;
  const Peer *First = Candidates[Source.below(Candidates.size())];
  const Peer *Second = Candidates[Source.below(Candidates.size())];
  return First->Stats.cost(Now) <= Second->Stats.cost(Now) ? First : Second;
}

ServiceRouter::Peer *ServiceRouter::find(const ProcessId &Process) {
  for (Peer &Candidate : Peers)
    if (Candidate.Process == Process)
      return &Candidate;
  return nullptr;
}

} // namespace camphorpin
