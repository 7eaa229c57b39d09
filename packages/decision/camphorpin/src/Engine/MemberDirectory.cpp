#include "camphorpin/src/Engine/MemberDirectory.h"

#include <algorithm>
#include <array>
#include <string>
#include <string_view>

namespace camphorpin::detail {

namespace {

/// Interval between attempts to join.
constexpr Duration JoinInterval = Duration::seconds(1);
constexpr std::size_t MaxEntryPoints = 128;
/// A node that reaches no entry point within this time starts to serve its own
/// backend server without other members, and continues its attempts to join.
constexpr Duration JoinTimeout = Duration::seconds(3);

std::string_view memberStateName(MemberState Value) {
  // In the order of the enumerators.
  constexpr std::array<std::string_view, 5> Names = {"alive", "suspect", "dead",
                                                     "leaving", "left"};
  return Names.at(static_cast<std::size_t>(Value));
}

MemberRecord selfRecord(const EngineOptions &Options) {
  return {.Process = Options.Self,
          .Service = Options.Service,
          .Zone = Options.Zone,
          .Region = Options.Region};
}

} // namespace

std::span<const ConfigurationPeer> PresentMembers::peers() const {
  if (CachedVersion == Version)
    return CachedPeers;
  CachedVersion = Version;
  CachedPeers.clear();
  for (const HostAddress &Address : Members.table().addresses()) {
    const MemberRecord *Record = Members.table().find(Address);
    if (Record->present())
      CachedPeers.push_back({Address, Record->Zone});
  }
  return CachedPeers;
}

MemberDirectory::MemberDirectory(const EngineOptions &Options, Actions &Out,
                                 Random &RandomSource)
    : Out(Out), RandomSource(RandomSource),
      Members(selfRecord(Options), MembershipSettings(), RandomSource, *this),
      Present(Members) {
  for (const ConfiguredPeer &Peer : Options.Peers)
    EntryPoints.push_back(Peer.Address);
}

void MemberDirectory::tick(Instant Now) {
  if (!FirstTick)
    FirstTick = Now;
  if (!Members.joined() && Now >= NextJoin) {
    NextJoin = Now + JoinInterval;
    Members.join(EntryPoints, Now);
  }
  Members.tick(Now);
}

void MemberDirectory::addEntryPoint(const HostAddress &Address) {
  const bool IsKnown = std::find(EntryPoints.begin(), EntryPoints.end(),
                                 Address) != EntryPoints.end();
  if (!IsKnown && EntryPoints.size() < MaxEntryPoints)
    EntryPoints.push_back(Address);
}

bool MemberDirectory::isJoinFinished(Instant Now) const {
  return Members.joined() || EntryPoints.empty() ||
         (FirstTick && Now - *FirstTick >= JoinTimeout);
}

void MemberDirectory::onGossip(HostAddress From, const GossipMessage &Message,
                               Instant Now) {
  Members.onGossip(From, Message, Now);
}

std::optional<ProcessId>
MemberDirectory::pick(const ServiceName &Service,
                      std::span<const ProcessId> Excluded, Instant Now) {
  return route(Service, Now).Router.pick(Excluded, RandomSource, Now);
}

void MemberDirectory::callStarted(const ServiceName &Service,
                                  const ProcessId &Peer, Instant Now) {
  route(Service, Now).Router.onCallStarted(Peer, Now);
}

void MemberDirectory::callEnded(const ServiceName &Service,
                                const ProcessId &Peer, PeerCallOutcome Outcome,
                                Duration Latency, Instant Now) {
  route(Service, Now).Router.onCallEnded(Peer, Outcome, Latency, Now);
}

Duration MemberDirectory::expectedLatency(const ServiceName &Service,
                                          const ProcessId &Peer) {
  const auto Found = Routes.find(Service);
  if (Found == Routes.end())
    return {};
  const PeerStats *Stats = Found->second.Router.stats(Peer);
  return Stats != nullptr ? Duration::fromMillis(Stats->smoothedLatencyMs())
                          : Duration();
}

std::vector<HostAddress> MemberDirectory::randomPeers(std::size_t Count) {
  std::vector<HostAddress> Result;
  const std::vector<HostAddress> All = Members.table().addresses();
  // Some draws hit this node or members that are not present.
  for (std::size_t Draw = 0; Draw < 4 * Count && Result.size() < Count;
       ++Draw) {
    const HostAddress Address = All.at(RandomSource.below(All.size()));
    if (Address != Members.self().Process.Address &&
        Members.table().find(Address)->present())
      Result.push_back(Address);
  }
  return Result;
}

MemberDirectory::Route &MemberDirectory::route(const ServiceName &Service,
                                               Instant Now) {
  Route &Entry =
      Routes.try_emplace(Service, Route{ServiceRouter(Members.self())})
          .first->second;
  if (!Entry.Stale)
    return Entry;
  Entry.Stale = false;
  std::vector<MemberRecord> Candidates;
  for (const HostAddress &Address : Members.table().membersOf(Service)) {
    const MemberRecord *Record = Members.table().find(Address);
    if (Record->acceptsWork() && Members.zoneReachable(Record->Zone))
      Candidates.push_back(*Record);
  }
  Entry.Router.update(Candidates, Now);
  return Entry;
}

void MemberDirectory::sendGossip(HostAddress To, const GossipMessage &Message) {
  GossipMessage Stamped = Message;
  if (ReadingHandler != nullptr)
    Stamped.Reading = ReadingHandler->currentReading();
  Out.sendDatagram(To, Stamped);
}

void MemberDirectory::acknowledged(HostAddress From, const LogReading &Reading,
                                   Instant SentAt) {
  if (ReadingHandler != nullptr)
    ReadingHandler->onReadingInAck(From, Reading, SentAt);
}

void MemberDirectory::memberChanged(const MemberRecord &Record) {
  Present.invalidate();
  // The member may have changed its service, so every route is stale.
  for (auto &[Service, Entry] : Routes)
    Entry.Stale = true;
  Out.logEvent(LogEvent::MemberChanged,
               {{"member", Record.Process.Address.toString()},
                {"service", Record.Service.string()},
                {"state", std::string(memberStateName(Record.State))}});
}

void MemberDirectory::zoneChanged(const ZoneName &Zone, bool Reachable) {
  for (auto &[Service, Entry] : Routes)
    Entry.Stale = true;
  Out.logEvent(
      LogEvent::ZoneChanged,
      {{"zone", Zone.string()}, {"reachable", Reachable ? "true" : "false"}});
}

void MemberDirectory::selfRenewed(const ProcessId &Renewed) {
  Out.logEvent(LogEvent::SelfRenewed,
               {{"incarnation", std::to_string(Renewed.Incarnation)}});
}

} // namespace camphorpin::detail
