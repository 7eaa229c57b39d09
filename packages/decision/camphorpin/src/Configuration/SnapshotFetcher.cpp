#include "camphorpin/src/Configuration/SnapshotFetcher.h"

#include <utility>

namespace camphorpin {

bool SnapshotFetcher::start(Instant Now) {
  Candidate.reset();
  DigestAttempts = 0;
  NextDigestAttempt = Instant::never();
  const ConfigurationPeer *Peer = pickPeer(Peers.peers(), Self, ZoneName());
  if (Peer == nullptr) {
    State = Phase::Failed;
    return false;
  }
  State = Phase::Snapshot;
  SnapshotPeer = Peer->Address;
  SnapshotPeerZone = Peer->Zone;
  RequestedAt = Now;
  Deadline = Now + ReplyTimeout;
  Actions.requestSnapshot(SnapshotPeer);
  return true;
}

bool SnapshotFetcher::failed(Instant Now) const {
  return State == Phase::Failed || Now >= Deadline;
}

void SnapshotFetcher::tick(Instant Now) {
  if (State == Phase::Digest && Now >= NextDigestAttempt)
    requestPeerDigest(Now);
}

std::optional<FetchedState> SnapshotFetcher::onSnapshot(HostAddress From,
                                                        SnapshotReply Reply,
                                                        Instant Now) {
  if (State != Phase::Snapshot || From != SnapshotPeer)
    return std::nullopt;
  State = Phase::Failed;
  if (!Reply.Snapshot)
    return std::nullopt;
  std::optional<ConfigurationFold> Fold =
      ConfigurationFold::restore(*Reply.Snapshot);
  if (!Fold)
    return std::nullopt;
  Candidate.emplace(FetchedState{std::move(*Fold), std::move(Reply.Ages)});
  if (Reply.Reading.AgeMs != LogReading::NoReading) {
    Candidate->UpToDateAsOf =
        RequestedAt - Duration::millis(Reply.Reading.AgeMs);
    Candidate->HasReading = true;
  }
  if (pickPeer(Peers.peers(), SnapshotPeer, ZoneName()) == nullptr)
    return std::exchange(Candidate, std::nullopt);
  State = Phase::Digest;
  requestPeerDigest(Now);
  return std::nullopt;
}

std::optional<FetchedState> SnapshotFetcher::onDigest(HostAddress From,
                                                      const DigestReply &Reply,
                                                      Instant Now) {
  if (State != Phase::Digest || From != DigestPeer || !Candidate ||
      Reply.Offset != Candidate->Fold.nextOffset())
    return std::nullopt;
  if (!Reply.Digest) {
    NextDigestAttempt = Now + DigestRetryDelay;
    return std::nullopt;
  }
  State = Phase::Failed;
  if (*Reply.Digest == Candidate->Fold.digest())
    return std::exchange(Candidate, std::nullopt);
  Actions.digestMismatch(SnapshotPeer, DigestPeer);
  return std::nullopt;
}

const ConfigurationPeer *
SnapshotFetcher::pickPeer(std::span<const ConfigurationPeer> All,
                          HostAddress ExcludedPeer,
                          const ZoneName &AvoidedZone) {
  if (All.empty())
    return nullptr;
  const std::size_t Start = Source.below(All.size());
  const ConfigurationPeer *SameZone = nullptr;
  for (std::size_t Index = 0; Index < All.size(); ++Index) {
    const ConfigurationPeer &Peer = All[(Start + Index) % All.size()];
    if (Peer.Address == Self || Peer.Address == ExcludedPeer)
      continue;
    if (Peer.Zone != AvoidedZone)
      return &Peer;
    SameZone = &Peer;
  }
  return SameZone;
}

void SnapshotFetcher::requestPeerDigest(Instant Now) {
  const ConfigurationPeer *Peer = nullptr;
  if (DigestAttempts < DigestAttemptsPreferringReaders)
    Peer = pickPeer(Selection.readers(Peers), SnapshotPeer, SnapshotPeerZone);
  if (Peer == nullptr)
    Peer = pickPeer(Peers.peers(), SnapshotPeer, SnapshotPeerZone);
  if (Peer == nullptr || DigestAttempts == MaxDigestAttempts) {
    State = Phase::Failed;
    return;
  }
  ++DigestAttempts;
  DigestPeer = Peer->Address;
  Deadline = Now + ReplyTimeout;
  NextDigestAttempt = Instant::never();
  Actions.requestDigest(DigestPeer, {Candidate->Fold.nextOffset()});
}

} // namespace camphorpin
