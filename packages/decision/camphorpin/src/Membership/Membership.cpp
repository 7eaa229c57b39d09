#include "camphorpin/src/Membership/Membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphorpin {

namespace {

constexpr Duration PurgeInterval = Duration::seconds(10);
// A relayed probe that is not acknowledged by then has already timed out at its
// requester.
constexpr Duration RelayLifetime = Duration::seconds(10);
constexpr std::size_t MaxRelays = 256;
// A new member misses the changes that were disseminated while it joined, so it
// compares tables soon and then at increasing intervals.
constexpr Duration FirstSyncInterval = Duration::seconds(5);
// Number of transmissions of each delta per doubling of the number of members.
constexpr double TransmissionsPerDoubling = 3.0;

} // namespace

Membership::Membership(const MemberRecord &Self,
                       const MembershipSettings &Settings, Random &Source,
                       MembershipActions &Actions)
    : Self(Self), Settings(Settings), Source(Source), Actions(Actions),
      Detector(Settings), SyncInterval(FirstSyncInterval) {
  Table.merge(Self, Instant());
  enqueueDelta(Self);
}

void Membership::join(std::span<const HostAddress> EntryPoints, Instant) {
  for (HostAddress EntryPoint : EntryPoints)
    if (EntryPoint != Self.Process.Address)
      sendSync(EntryPoint);
}

void Membership::setCalledServices(std::span<const ServiceName> Services) {
  CalledServices.clear();
  CalledServices.insert(Services.begin(), Services.end());
}

void Membership::onGossip(HostAddress From, const GossipMessage &Message,
                          Instant Now) {
  if (From == Self.Process.Address)
    return;
  Joined = true;
  // Records that this node pulled are already known to the other members;
  // forwarding a whole table would fill the queue for hours.
  const bool Forward = Message.Kind != GossipKind::SyncRecords;
  for (const MemberRecord &Delta : Message.Deltas)
    applyDelta(Delta, Forward, Now);
  applyZoneReports(Message, Now);
  switch (Message.Kind) {
  case GossipKind::Probe: {
    GossipMessage Reply = makeMessage(GossipKind::Ack);
    Reply.Sequence = Message.Sequence;
    Reply.Target = Self.Process.Address;
    send(From, std::move(Reply));
    break;
  }
  case GossipKind::Ack:
    onAck(From, Message, Now);
    break;
  case GossipKind::ProbeRequest:
    onProbeRequest(From, Message, Now);
    break;
  case GossipKind::SyncRequest: {
    GossipMessage Reply = makeMessage(GossipKind::SyncDigest);
    Reply.Digests = TableSync::digests(Table);
    Reply.Deltas.push_back(Self);
    Actions.sendGossip(From, Reply);
    break;
  }
  case GossipKind::SyncDigest:
    Sync.compare(Table, Message.Digests);
    sendPull(From);
    break;
  case GossipKind::SyncPull:
    for (std::vector<MemberRecord> &Part :
         TableSync::recordsOf(Table, Message.Buckets, Settings.DeltaBytes)) {
      GossipMessage Reply = makeMessage(GossipKind::SyncRecords);
      Reply.Deltas = std::move(Part);
      Actions.sendGossip(From, Reply);
    }
    break;
  case GossipKind::Push:
  case GossipKind::SyncRecords:
    break;
  }
}

void Membership::tick(Instant Now) {
  if (Ticked && Now - LastTick > Settings.PauseThreshold)
    Detector.notePause();
  Ticked = true;
  LastTick = Now;
  runProbes(Now);
  Zones.tick(Now);
  confirmDeaths(Now);
  runSync(Now);
  if (UrgentPending)
    pushUrgent();
  if (Now >= NextPurge) {
    NextPurge = Now + PurgeInterval;
    Table.purge(Now - Settings.TombstoneRetention);
    std::erase_if(
        Relays, [Now](const auto &Item) { return Now >= Item.second.Expires; });
  }
}

void Membership::leave(Instant Now) { announceSelf("leaving", Now); }

void Membership::exit(Instant Now) { announceSelf("exited", Now); }

GossipMessage Membership::makeMessage(GossipKind Kind) {
  GossipMessage Message;
  Message.Kind = Kind;
  Message.Sender = Self.Process;
  return Message;
}

void Membership::send(HostAddress To, GossipMessage Message) {
  Message.Deltas = Queue.take(Settings.DeltaBytes);
  Message.UnreachableZones = Zones.unreachable();
  // Attaches the receiver's own record if it is suspect or dead, so that the
  // receiver can refute it.
  const MemberRecord *Receiver = Table.find(To);
  if (Receiver != nullptr && (Receiver->State == MemberState::Suspect ||
                              Receiver->State == MemberState::Dead))
    Message.Deltas.push_back(*Receiver);
  Actions.sendGossip(To, Message);
}

void Membership::probe(HostAddress Target, Instant Now) {
  GossipMessage Message = makeMessage(GossipKind::Probe);
  Message.Sequence = Detector.start(Target, Now);
  send(Target, std::move(Message));
}

void Membership::sampleZone(const ZoneName &Zone, Instant Now) {
  std::vector<HostAddress> InZone;
  for (HostAddress Address : Table.addresses()) {
    const MemberRecord *Record = Table.find(Address);
    if (Record->Zone == Zone && Record->present() &&
        Address != Self.Process.Address)
      InZone.push_back(Address);
  }
  for (std::size_t Count = 0;
       Count < ZoneMonitor::SampleSize && !InZone.empty(); ++Count)
    probe(InZone[Source.below(InZone.size())], Now);
}

void Membership::noteOutcome(const ProbeOutcome &Outcome, Instant Now) {
  const MemberRecord *Record = Table.find(Outcome.Target);
  if (Record == nullptr)
    return;
  const ZoneName Zone = Record->Zone;
  if (Zones.onProbeOutcome(Zone, Outcome.Answered)) {
    // Suspicions during the partition were not disseminated, so no member would
    // refute them. Members that did crash are detected again one by one.
    if (Zones.reachable(Zone))
      Table.clearSuspicions(Zone, Now);
    SyncInterval = FirstSyncInterval;
    Actions.zoneChanged(Zone, Zones.reachable(Zone));
  }
  if (!Outcome.Answered)
    suspect(Outcome.Target, Now);
  else if (Zones.startSampleIfUnreachable(Zone, Now))
    sampleZone(Zone, Now);
  // An acknowledgement does not clear a suspicion: the suspicion has been
  // disseminated, so the member must learn of it and refute it. Probes sent to
  // a suspected member carry the suspicion (see send()).
}

void Membership::suspect(HostAddress Address, Instant Now) {
  if (!Table.apply(Address, "unreachable", Now))
    return;
  const MemberRecord Record = *Table.find(Address);
  Actions.memberChanged(Record);
  // An unreachable zone is reported as a whole. Its suspects are not
  // disseminated one by one, nor while a sample decides whether it is
  // unreachable.
  if (!Zones.isUnreachableOrSampled(Record.Zone))
    enqueueDelta(Record);
  LocalSuspects[Address] = Now + Settings.ProbePeriod;
  sampleIfManySuspects(Record.Zone, Now);
}

void Membership::probeLocalSuspects(Instant Now) {
  std::erase_if(LocalSuspects, [this](const auto &Item) {
    const MemberRecord *Record = Table.find(Item.first);
    return Record == nullptr || Record->State != MemberState::Suspect;
  });
  std::vector<HostAddress> Due;
  for (auto &[Address, NextTry] : LocalSuspects) {
    if (Now < NextTry ||
        Zones.isUnreachableOrSampled(Table.find(Address)->Zone))
      continue;
    NextTry = Now + Settings.ProbePeriod;
    Due.push_back(Address);
  }
  for (HostAddress Address : Due)
    probe(Address, Now);
}

void Membership::sampleIfManySuspects(const ZoneName &Zone, Instant Now) {
  if (!Settings.AggregateZoneFailures)
    return;
  if (Zones.startSampleIfManySuspects(Zone, Table.suspectsIn(Zone),
                                      Table.presentIn(Zone), Now))
    sampleZone(Zone, Now);
}

void Membership::confirmDeaths(Instant Now) {
  const Duration Timeout = Detector.suspicionTimeout(Table.presentCount());
  std::vector<HostAddress> Expired;
  for (HostAddress Address : Table.suspects()) {
    const bool Blocked =
        Zones.isUnreachableOrSampled(Table.find(Address)->Zone);
    if (!Blocked && Now - Table.changedAt(Address) >= Timeout)
      Expired.push_back(Address);
  }
  std::sort(Expired.begin(), Expired.end());
  for (HostAddress Address : Expired) {
    Table.apply(Address, "timeout", Now);
    const MemberRecord Record = *Table.find(Address);
    enqueueDelta(Record);
    Actions.memberChanged(Record);
  }
}

void Membership::applyDelta(const MemberRecord &Delta, bool Forward,
                            Instant Now) {
  if (Delta.Process.Address == Self.Process.Address) {
    applyDeltaAboutSelf(Delta, Now);
    return;
  }
  if (!Table.merge(Delta, Now))
    return;
  if (Delta.present())
    Schedule.add(Delta.Process.Address, Source);
  if (Forward)
    enqueueDelta(Delta);
  Actions.memberChanged(Delta);
  if (Delta.State == MemberState::Suspect)
    sampleIfManySuspects(Delta.Zone, Now);
}

void Membership::applyDeltaAboutSelf(const MemberRecord &Delta, Instant Now) {
  if (!Self.supersededBy(Delta))
    return;
  if (Delta.Process.Incarnation > Self.Process.Incarnation) {
    Self.Process.Incarnation = Delta.Process.Incarnation + 1;
    Actions.selfRenewed(Self.Process);
  } else {
    Self.Refutation = Delta.Refutation + 1;
  }
  Table.merge(Self, Now);
  enqueueDelta(Self);
  UrgentPending = true;
}

void Membership::applyZoneReports(const GossipMessage &Message, Instant Now) {
  const MemberRecord *Sender = Table.find(Message.Sender.Address);
  for (const ZoneName &Zone : Message.UnreachableZones) {
    // Ignores a report by a member of that very zone: it describes the sender's
    // own side of the partition.
    const bool Relevant = Sender == nullptr || Sender->Zone != Zone;
    if (Relevant && Zone != Self.Zone && Table.presentIn(Zone) > 0 &&
        Zones.onReport(Zone, Now))
      sampleZone(Zone, Now);
  }
}

void Membership::onAck(HostAddress From, const GossipMessage &Message,
                       Instant Now) {
  const std::optional<ProbeOutcome> Outcome =
      Detector.acknowledged(Message.Sequence);
  if (!Outcome)
    return;
  Actions.acknowledged(From, Message.Reading, Outcome->SentAt);
  const auto Found = Relays.find(Message.Sequence);
  if (Found != Relays.end()) {
    GossipMessage Reply = makeMessage(GossipKind::Ack);
    Reply.Sequence = Found->second.RequesterSequence;
    Reply.Target = Outcome->Target;
    send(Found->second.Requester, std::move(Reply));
    Relays.erase(Found);
  }
  noteOutcome(*Outcome, Now);
}

void Membership::onProbeRequest(HostAddress From, const GossipMessage &Message,
                                Instant Now) {
  if (Relays.size() >= MaxRelays || Table.find(Message.Target) == nullptr)
    return;
  GossipMessage Probe = makeMessage(GossipKind::Probe);
  Probe.Sequence = Detector.start(Message.Target, Now);
  Relays.emplace(Probe.Sequence,
                 Relay{From, Message.Sequence, Now + RelayLifetime});
  send(Message.Target, std::move(Probe));
}

void Membership::announceSelf(std::string_view Event, Instant Now) {
  if (!Table.apply(Self.Process.Address, Event, Now))
    return;
  Self = *Table.find(Self.Process.Address);
  enqueueDelta(Self);
  pushUrgent();
}

void Membership::enqueueDelta(const MemberRecord &Record) {
  const bool Ending =
      Record.State == MemberState::Leaving || Record.State == MemberState::Left;
  // A refutation races with the timeout of the suspicion.
  const bool Refuting =
      Record.State == MemberState::Alive && Record.Refutation > 0;
  const bool Urgent = Ending || Refuting;
  GossipPriority Priority = GossipPriority::Other;
  if (Urgent || Record.Process == Self.Process)
    Priority = GossipPriority::Urgent;
  else if (CalledServices.contains(Record.Service))
    Priority = GossipPriority::Called;
  Queue.add(Record, Priority, transmissions());
  UrgentPending = UrgentPending || Urgent;
}

void Membership::pushUrgent() {
  UrgentPending = false;
  const GossipMessage Template = makeMessage(GossipKind::Push);
  for (HostAddress To : randomMembers(Settings.UrgentFanout))
    send(To, Template);
}

void Membership::sendSync(HostAddress To) {
  GossipMessage Message = makeMessage(GossipKind::SyncRequest);
  Message.Deltas.push_back(Self);
  Actions.sendGossip(To, Message);
}

void Membership::sendPull(HostAddress To) {
  GossipMessage Message = makeMessage(GossipKind::SyncPull);
  Message.Buckets = Sync.takePendingBuckets();
  if (!Message.Buckets.empty())
    send(To, std::move(Message));
}

void Membership::runProbes(Instant Now) {
  for (std::uint64_t Sequence : Detector.takeDirectTimeouts(Now)) {
    if (Relays.contains(Sequence))
      continue;
    GossipMessage Request = makeMessage(GossipKind::ProbeRequest);
    Request.Sequence = Sequence;
    Request.Target = Detector.target(Sequence);
    for (HostAddress Helper : randomMembers(Settings.IndirectProbes))
      if (Helper != Request.Target)
        send(Helper, Request);
  }
  for (const ProbeOutcome &Outcome : Detector.takeFailed(Now))
    noteOutcome(Outcome, Now);
  probeLocalSuspects(Now);
  if (Now < NextProbe)
    return;
  NextProbe = Now + Settings.ProbePeriod;
  const std::optional<HostAddress> Target =
      Schedule.next(Table, Self.Process.Address, Source);
  if (Target)
    probe(*Target, Now);
}

void Membership::runSync(Instant Now) {
  const std::vector<HostAddress> Peer = randomMembers(1);
  if (Peer.empty())
    return;
  sendPull(Peer.front());
  if (Now < NextSync)
    return;
  // Jitter keeps nodes that start together from comparing tables at the same
  // time.
  NextSync = Now + SyncInterval * (0.5 + Source.uniform01());
  SyncInterval = std::min(SyncInterval + SyncInterval, Settings.SyncPeriod);
  sendSync(Peer.front());
}

std::vector<HostAddress> Membership::randomMembers(std::size_t Count) {
  std::vector<HostAddress> Chosen;
  // Most members of the table are present, so a few attempts find enough.
  const std::size_t Attempts = Count * 8;
  const std::vector<HostAddress> &Known = Schedule.members();
  for (std::size_t Attempt = 0; Attempt < Attempts && Chosen.size() < Count;
       ++Attempt) {
    if (Known.empty())
      break;
    const HostAddress Candidate = Known[Source.below(Known.size())];
    const MemberRecord *Record = Table.find(Candidate);
    const bool Usable = Record != nullptr &&
                        Record->State == MemberState::Alive &&
                        Zones.reachable(Record->Zone);
    if (Usable &&
        std::find(Chosen.begin(), Chosen.end(), Candidate) == Chosen.end())
      Chosen.push_back(Candidate);
  }
  return Chosen;
}

std::size_t Membership::transmissions() const {
  const double Doublings = std::log2(
      static_cast<double>(std::max<std::size_t>(Table.presentCount(), 2)));
  return static_cast<std::size_t>(
      std::ceil(TransmissionsPerDoubling * Doublings));
}

} // namespace camphorpin
