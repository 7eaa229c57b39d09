#include "camphorpin/src/Admission/UpstreamShedder.h"

#include <algorithm>
#include <cmath>

using namespace camphorpin;

namespace {

/// The share of calls sent doubles once per half-life while all are accepted;
/// with a half-life of 1 s it took almost 6 s to get from the minimum share to
/// all calls.
constexpr Duration HalfLife = Duration::millis(250);
/// Calls sent per accepted call of a shed rank. More than 1, so that a peer
/// that accepts more calls again is detected; at 2 at most half of the calls
/// sent are refused.
constexpr double SentPerAccepted = 2.0;
/// The same for the most urgent rank, which must not run short in the queues of
/// the called service while less urgent calls are queued there.
constexpr double UrgentSentPerAccepted = 4.0;
/// Minimum share of the calls of a shed rank that is sent.
constexpr double MinSentShare = 0.02;
/// A shed rank sends at least one call per this time, if it has calls.
constexpr Duration ProbeInterval = Duration::millis(500);

} // namespace

bool UpstreamShedder::admit(const CallTarget &Target, Rank CallRank,
                            std::string_view Caller, Instant Now) {
  const auto Found = Targets.find(Target);
  if (Found == Targets.end())
    return true;
  TargetState &State = Found->second;
  CallCounts &Counts = countsOf(State, Caller, Now);
  Counts.Offered += 1;
  const Rank Level = levelOf(State, Now);
  const bool AllOtherRanksShed = Level == Rank(0) && CallRank == Rank(0);
  if (!Level.moreUrgentThan(CallRank) && !AllOtherRanksShed) {
    State.LastSent = Now;
    return true;
  }
  // The added 1 admits the first calls after a pause.
  const double Factor =
      AllOtherRanksShed ? UrgentSentPerAccepted : SentPerAccepted;
  const double Share = (Factor * Counts.Accepted + 1) / Counts.Offered;
  Counts.Credit += std::clamp(Share, MinSentShare, 1.0);
  if (Counts.Credit < 1 && Now - State.LastSent < ProbeInterval)
    return false;
  Counts.Credit = std::max(0.0, Counts.Credit - 1);
  State.LastSent = Now;
  return true;
}

void UpstreamShedder::observe(const SheddingObservation &Observation,
                              Instant Now) {
  TargetState *State = findOrAdd(Observation.Target, Now);
  if (!State)
    return;
  if (Observation.Accepted)
    countsOf(*State, Observation.Caller, Now).Accepted += 1;
  const PeerLevel NewLevel = {.Peer = Observation.Peer,
                              .Level = Observation.Level,
                              .Expiry = Now + LevelLifetime};
  std::vector<PeerLevel> &Peers = State->Peers;
  auto Position = std::find_if(Peers.begin(), Peers.end(),
                               [&Observation](const PeerLevel &Known) {
                                 return Known.Peer == Observation.Peer;
                               });
  if (Position == Peers.end() && Peers.size() < MaxPeers) {
    Peers.push_back(NewLevel);
    return;
  }
  if (Position == Peers.end())
    Position =
        std::min_element(Peers.begin(), Peers.end(),
                         [](const PeerLevel &Left, const PeerLevel &Right) {
                           return Left.Expiry < Right.Expiry;
                         });
  *Position = NewLevel;
}

Rank UpstreamShedder::level(const CallTarget &Target, Instant Now) const {
  const auto Found = Targets.find(Target);
  return Found == Targets.end() ? Rank(MaxRanks - 1)
                                : levelOf(Found->second, Now);
}

Rank UpstreamShedder::levelOf(const TargetState &State, Instant Now) {
  Rank Least;
  bool Known = false;
  for (const PeerLevel &Reported : State.Peers) {
    if (Reported.Expiry < Now)
      continue;
    Least = std::max(Least, Reported.Level);
    Known = true;
  }
  return Known ? Least : Rank(MaxRanks - 1);
}

UpstreamShedder::CallCounts &UpstreamShedder::countsOf(TargetState &State,
                                                       std::string_view Caller,
                                                       Instant Now) {
  if (State.Counts.empty())
    State.Counts.resize(CallerBuckets);
  CallCounts &Counts = State.Counts[stableHash(Caller) % CallerBuckets];
  const double HalfLives =
      (Now - Counts.Updated).toMillis() / HalfLife.toMillis();
  const double Factor = std::exp2(-HalfLives);
  Counts.Offered *= Factor;
  Counts.Accepted *= Factor;
  Counts.Updated = Now;
  return Counts;
}

UpstreamShedder::TargetState *
UpstreamShedder::findOrAdd(const CallTarget &Target, Instant Now) {
  const auto Found = Targets.find(Target);
  if (Found != Targets.end())
    return &Found->second;
  if (Targets.size() >= MaxTargets) {
    const auto Stale =
        std::find_if(Targets.begin(), Targets.end(), [Now](const auto &Entry) {
          return levelOf(Entry.second, Now) == Rank(MaxRanks - 1);
        });
    if (Stale == Targets.end())
      return nullptr;
    Targets.erase(Stale);
  }
  return &Targets[Target];
}

std::size_t
UpstreamShedder::TargetHash::operator()(const CallTarget &Target) const {
  return stableHash(Target.Operation.view(), stableHash(Target.Service.view()));
}
