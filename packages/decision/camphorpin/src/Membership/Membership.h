#ifndef CAMPHORPIN_SRC_MEMBERSHIP_MEMBERSHIP_H
#define CAMPHORPIN_SRC_MEMBERSHIP_MEMBERSHIP_H

#include "camphorpin/src/Membership/FailureDetector.h"
#include "camphorpin/src/Membership/GossipMessage.h"
#include "camphorpin/src/Membership/GossipQueue.h"
#include "camphorpin/src/Membership/MemberTable.h"
#include "camphorpin/src/Membership/MembershipSettings.h"
#include "camphorpin/src/Membership/ProbeSchedule.h"
#include "camphorpin/src/Membership/TableSync.h"
#include "camphorpin/src/Membership/ZoneMonitor.h"

#include <map>
#include <span>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace camphorpin {

/// \class MembershipActions
/// \brief Interface through which Membership sends datagrams and reports
/// changes.
class MembershipActions {
public:
  virtual ~MembershipActions() = default;

  /// Sends one datagram; it may be lost. The owner attaches its reading of the
  /// log at this moment: a reading that was stored earlier would look more
  /// recent than it is after a pause of the process.
  virtual void sendGossip(HostAddress To, const GossipMessage &Message) = 0;

  /// Called when the node at \p From, whose reading of the log is \p Reading,
  /// acknowledges a probe that this node sent at \p SentAt.
  virtual void acknowledged(HostAddress From, const LogReading &Reading,
                            Instant SentAt) = 0;

  /// Called when the record of another member is new or has changed.
  virtual void memberChanged(const MemberRecord &Record) = 0;

  /// Called when an availability zone becomes unreachable or reachable.
  virtual void zoneChanged(const ZoneName &Zone, bool Reachable) = 0;

  /// Called when a delta has a later incarnation of this node's own address,
  /// for example because the wall clock was set back before a restart. The node
  /// has taken \p Renewed as its identity and must treat itself as a new
  /// process.
  virtual void selfRenewed(const ProcessId &Renewed) = 0;
};

/// \class Membership
/// \brief The membership protocol of one node: probes with indirect probes and
/// suspicion, gossip of deltas, and anti-entropy between member tables.
class Membership {
public:
  Membership(const MemberRecord &Self, const MembershipSettings &Settings,
             Random &Source, MembershipActions &Actions);

  /// Requests the member tables of the nodes at \p EntryPoints. May be called
  /// again until joined() is true.
  void join(std::span<const HostAddress> EntryPoints, Instant Now);

  /// \returns true once a datagram from another node has arrived.
  bool joined() const { return Joined; }

  /// Sets the services that this node calls; deltas of their members are sent
  /// first.
  void setCalledServices(std::span<const ServiceName> Services);

  /// Handles a datagram from the node at \p From, which need not be a known
  /// member: its deltas are merged and its requests answered. A datagram from
  /// this node's own address is ignored.
  void onGossip(HostAddress From, const GossipMessage &Message, Instant Now);

  /// Runs timers. To be called at least every 100 ms.
  void tick(Instant Now);

  /// Announces that this node accepts no new work.
  void leave(Instant Now);

  /// Announces that this process has no running work and exits now.
  void exit(Instant Now);

  const MemberTable &table() const { return Table; }
  const MemberRecord &self() const { return Self; }
  bool zoneReachable(const ZoneName &Zone) const {
    return Zones.reachable(Zone);
  }
  /// \returns the local health score, 0 being healthy.
  std::size_t healthScore() const { return Detector.score(); }

private:
  /// A probe that this node sent on behalf of another one.
  struct Relay {
    HostAddress Requester;
    std::uint64_t RequesterSequence;
    Instant Expires;
  };

  GossipMessage makeMessage(GossipKind Kind);
  void send(HostAddress To, GossipMessage Message);
  void probe(HostAddress Target, Instant Now);
  /// Sends ZoneMonitor::SampleSize probes to random members of \p Zone.
  void sampleZone(const ZoneName &Zone, Instant Now);
  void noteOutcome(const ProbeOutcome &Outcome, Instant Now);
  void suspect(HostAddress Address, Instant Now);
  /// Repeats the probes of the members in LocalSuspects.
  void probeLocalSuspects(Instant Now);
  void sampleIfManySuspects(const ZoneName &Zone, Instant Now);
  /// Declares suspects dead whose suspicion timeout has passed.
  void confirmDeaths(Instant Now);
  void applyDelta(const MemberRecord &Delta, bool Forward, Instant Now);
  void applyDeltaAboutSelf(const MemberRecord &Delta, Instant Now);
  void applyZoneReports(const GossipMessage &Message, Instant Now);
  void onAck(HostAddress From, const GossipMessage &Message, Instant Now);
  void onProbeRequest(HostAddress From, const GossipMessage &Message,
                      Instant Now);
  void announceSelf(std::string_view Event, Instant Now);
  void enqueueDelta(const MemberRecord &Record);
  /// Sends queued deltas to random members at once.
  void pushUrgent();
  /// Requests the digests of the member table of \p To.
  void sendSync(HostAddress To);
  /// Requests the next buckets that differ, if any.
  void sendPull(HostAddress To);
  void runProbes(Instant Now);
  void runSync(Instant Now);
  std::vector<HostAddress> randomMembers(std::size_t Count);
  /// \returns how often a delta is sent, which grows with the logarithm of the
  /// number of members.
  std::size_t transmissions() const;

  MemberRecord Self;
  MembershipSettings Settings;
  Random &Source;
  MembershipActions &Actions;
  MemberTable Table;
  GossipQueue Queue;
  FailureDetector Detector;
  ZoneMonitor Zones;
  ProbeSchedule Schedule;
  TableSync Sync;
  std::unordered_set<ServiceName> CalledServices;
  std::unordered_map<std::uint64_t, Relay> Relays;
  /// Members that this node itself suspects, with the time of the next probe.
  /// It keeps probing them, so that a suspicion caused by lost datagrams is
  /// refuted before its timeout.
  std::map<HostAddress, Instant> LocalSuspects;
  Duration SyncInterval;
  Instant LastTick;
  Instant NextProbe;
  Instant NextSync;
  Instant NextPurge;
  bool Ticked = false;
  bool Joined = false;
  bool UrgentPending = false;
};

} // namespace camphorpin

#endif
