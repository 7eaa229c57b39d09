// Guards routing: the bounded subset, the preference for the own availability
// zone, and the avoidance of slow, failing and cold backend servers.
#include "camphorpin/Routing.h"

#include <criterion/criterion.h>
#include <map>
#include <string>
#include <vector>

using namespace camphorpin;

namespace {

MemberRecord member(std::uint32_t Index, std::string_view Zone) {
  return MemberRecord{ProcessId{HostAddress{0x0A000000 + Index, 7000}, 1},
                      ServiceName("lots"), ZoneName(Zone),
                      RegionName("region")};
}

std::vector<MemberRecord> members(std::uint32_t Count) {
  std::vector<MemberRecord> Result;
  for (std::uint32_t Index = 0; Index < Count; ++Index)
    Result.push_back(member(Index, Index % 3 == 0 ? "a" : "b"));
  return Result;
}

const MemberRecord Self = member(1000, "a");
constexpr Instant Start = Instant::fromMillis(100000);

/// Runs \p Calls calls one after the other, each with the latency that
/// \p LatencyMs gives for its peer.
template <class LatencyOf>
std::map<ProcessId, int> spread(ServiceRouter &Router, int Calls,
                                LatencyOf LatencyMs, Instant Now) {
  SeededRandom Source(5);
  std::map<ProcessId, int> Count;
  for (int Call = 0; Call < Calls; ++Call) {
    const ProcessId Peer = Router.pick({}, Source, Now).value();
    Router.onCallStarted(Peer, Now);
    Router.onCallEnded(Peer, PeerCallOutcome::Answered,
                       Duration::fromMillis(LatencyMs(Peer)), Now);
    ++Count[Peer];
  }
  return Count;
}

} // namespace

// Guards the bound on connections of a node in a large service.
Test(PeerSubset, isBoundedStableAndReachesOtherZones) {
  const std::vector<MemberRecord> All = members(300);
  const std::vector<MemberRecord> Subset = choosePeerSubset(Self, All);
  cr_assert_eq(Subset.size(), MaxSubsetSize);
  std::size_t SameZone = 0;
  for (const MemberRecord &Member : Subset)
    SameZone += Member.Zone == Self.Zone ? 1 : 0;
  cr_assert_eq(SameZone, MaxSubsetSize - ReservedForOtherZones);

  std::vector<MemberRecord> Fewer;
  for (const MemberRecord &Member : All)
    if (!(Member == Subset.front()))
      Fewer.push_back(Member);
  std::size_t Kept = 0;
  for (const MemberRecord &Member : choosePeerSubset(Self, Fewer))
    for (const MemberRecord &Old : Subset)
      Kept += Member == Old ? 1 : 0;
  cr_assert_eq(Kept, MaxSubsetSize - 1, "one leaves, the others stay");
}

Test(ServiceRouter, prefersSameZoneUnlessItIsSlower) {
  ServiceRouter Router(Self);
  Router.update(members(6), Start);
  const std::map<ProcessId, int> Healthy = spread(
      Router, 400, [](const ProcessId &) { return 1.0; }, Start);
  int SameZone = 0;
  for (const auto &[Peer, Calls] : Healthy)
    SameZone += Peer.Address.Ip % 3 == 0x0A000000 % 3 ? Calls : 0;
  cr_assert_eq(SameZone, 400);
  const auto Slow = [](const ProcessId &Peer) {
    return Peer.Address.Ip % 3 == 0x0A000000 % 3 ? 20.0 : 1.0;
  };
  const std::map<ProcessId, int> Degraded = spread(Router, 400, Slow, Start);
  int OtherZone = 0;
  for (const auto &[Peer, Calls] : Degraded)
    OtherZone += Peer.Address.Ip % 3 == 0x0A000000 % 3 ? 0 : Calls;
  cr_assert_gt(OtherZone, 350, "only %d of 400 calls avoided the slow zone",
               OtherZone);
}

// Guards against sending calls repeatedly to a failing backend server, and
// against sending all calls at once to one that recovers.
Test(ServiceRouter, failedPeerIsProbedByOneCallAfterBackoff) {
  ServiceRouter Router(Self);
  const std::vector<MemberRecord> One = {member(0, "a")};
  Router.update(One, Start);
  SeededRandom Source(5);
  const ProcessId Peer = One.front().Process;
  Router.onCallStarted(Peer, Start);
  Router.onCallEnded(Peer, PeerCallOutcome::Failed, Duration(), Start);
  cr_assert_not(Router.pick({}, Source, Start).has_value());
  const Instant Later = Start + PeerStats::InitialBackoff;
  cr_assert(Router.pick({}, Source, Later).has_value());
  Router.onCallStarted(Peer, Later);
  cr_assert_not(Router.pick({}, Source, Later).has_value());
  Router.onCallEnded(Peer, PeerCallOutcome::Answered, Duration::millis(1),
                     Later);
  cr_assert(Router.pick({}, Source, Later).has_value());
}

// Fast refusals must not count as low latency.
Test(ServiceRouter, refusingPeerReceivesFewerCalls) {
  ServiceRouter Router(Self);
  const std::vector<MemberRecord> Two = {member(0, "a"), member(3, "a")};
  Router.update(Two, Start);
  SeededRandom Source(5);
  int Refused = 0;
  for (int Call = 0; Call < 1000; ++Call) {
    const ProcessId Peer = Router.pick({}, Source, Start).value();
    const bool Refuses = Peer == Two.front().Process;
    Refused += Refuses ? 1 : 0;
    Router.onCallStarted(Peer, Start);
    Router.onCallEnded(
        Peer, Refuses ? PeerCallOutcome::Refused : PeerCallOutcome::Answered,
        Duration::millis(Refuses ? 0 : 5), Start);
  }
  // With random choice half of the calls would be refused.
  cr_assert_lt(Refused, 300, "%d of 1000 calls went to the refusing peer",
               Refused);
}

Test(ServiceRouter, newPeerReceivesFewerCallsDuringSlowStart) {
  ServiceRouter Router(Self);
  const std::vector<MemberRecord> Old = {member(0, "a"), member(3, "a")};
  Router.update(Old, Start);
  std::vector<MemberRecord> All = Old;
  All.push_back(member(6, "a"));
  Router.update(All, Start);
  const auto Same = [](const ProcessId &) { return 1.0; };
  const ProcessId NewPeer = All.back().Process;
  const int Cold = spread(Router, 900, Same, Start)[NewPeer];
  const Instant Warm = Start + PeerStats::SlowStartDuration;
  const int Full = spread(Router, 900, Same, Warm)[NewPeer];
  cr_assert_lt(Cold, 150, "%d calls during the cold start", Cold);
  cr_assert_gt(Full, 200, "%d calls after the cold start", Full);
}
