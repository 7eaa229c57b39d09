#ifndef CAMPHORPIN_TESTS_SIMULATEDFLEET_H
#define CAMPHORPIN_TESTS_SIMULATEDFLEET_H

#include "EventQueue.h"
#include "camphorpin/src/Gateway/StoreReadPacing.h"
#include "camphorpin/src/Gateway/UpdateDisseminator.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// A fleet in virtual time whose nodes only disseminate updates and read a
/// store.
namespace camphorpin::test {

/// Delay of a message between two hosts, and of a read of the store.
constexpr Duration MessageDelay = Duration::millis(1);
/// Time until a connection to a stopped node fails.
constexpr Duration ConnectFailureDelay = Duration::millis(700);

class SimulatedFleet;

/// A node that only disseminates updates.
class SimulatedNode final : public DisseminatorContext {
public:
  SimulatedNode(SimulatedFleet &Owner, NodeRecord Record);

  PeerDigest known() const override;
  const NodeDirectory &directory() const override { return Directory; }
  bool reachable(const std::string &Name) const override {
    return !UnreachableNodes.contains(Name);
  }
  void send(const std::string &Name, const PeerFrame &Frame) override;
  void sendToInboundPeer(const std::string &Name,
                         const PeerFrame &Frame) override {
    send(Name, Frame);
  }
  void sendToAnyInboundPeer(const PeerFrame &) override {}
  void scheduleWakeup(Duration Span) override;

  void start();
  void receive(const std::string &From, const PeerFrame &Frame);
  void addRecord(const NodeRecord &Other);
  /// Forwards \p Reports if one of them is new to the node.
  void addCrashes(const PeerCrashes &Reports);
  void applyVersion(std::uint64_t Version);
  /// Reads the store unless a read is open or reading is paused.
  void readStore();
  /// The open read gets no answer, for example because its connection is lost
  /// to one of its ends.
  void loseOpenRead() { ReadLost = true; }
  /// From now on the store rejects the calls of this node.
  void rejectStoreCalls();

  NodeRecord Record;
  NodeDirectory Directory;
  /// Ids of the reported crashes.
  std::set<std::uint64_t> Crashes;
  std::uint64_t Version = 0;
  /// When the node applied its current version.
  Instant AppliedAt;
  bool Alive = true;
  /// False if the store rejects the calls of this node.
  bool StoreAccepts = true;
  /// The long poll has stalled: it does not return when the store changes.
  bool Stalled = false;
  /// Nodes to which connections fail.
  std::set<std::string> UnreachableNodes;
  std::unique_ptr<UpdateDisseminator> Disseminator;

private:
  friend class SimulatedFleet;
  void tick();
  void applyStore();
  /// Sends a read, which the store holds open until something changes.
  void startRead();
  /// The store has held a read open to its end.
  void onReadEnd();
  void onReadFailure();

  SimulatedFleet &Owner;
  /// Identifies the latest schedule of onTimer(), which replaces earlier ones.
  std::uint64_t TimerGeneration = 0;
  /// A read is open.
  bool Reading = false;
  /// The open read will not be answered.
  bool ReadLost = false;
  /// Identifies the open read.
  std::uint64_t ReadGeneration = 0;
  /// The latest read that has ended was answered.
  bool StoreReachable = false;
  /// A failed read is not retried before this instant.
  Instant RetryDue;
  Instant SentAt;
  StoreReadPacing Pacing;
};

/// The nodes, the store and the virtual time.
class SimulatedFleet {
public:
  SimulatedFleet(int Nodes, int Zones) {
    for (int Index = 0; Index < Nodes; ++Index) {
      NodeRecord Record;
      Record.Node = "node-" + std::to_string(Index);
      Record.Address = *HostAddress::parse("10.0.0.1:7000");
      Record.Service = "s";
      Record.Zone = "zone-" + std::to_string(Index % Zones);
      Record.Incarnation = 1;
      add(std::move(Record));
    }
  }

  SimulatedNode &add(NodeRecord Record) {
    const std::string Name = Record.Node;
    Nodes[Name] = std::make_unique<SimulatedNode>(*this, std::move(Record));
    SimulatedNode &Added = *Nodes[Name];
    Events.after(Duration::millis(300) * RandomSource.uniform01(),
                 [&Added] { Added.start(); });
    return Added;
  }

  /// The operator publishes a configuration.
  void publish() {
    ++Version;
    Published = Events.now();
    completeLongPolls();
  }

  /// Completes the long polls of the nodes after a change of the store.
  void completeLongPolls() {
    for (auto &[Name, Item] : Nodes) {
      if (!Item->Reading || Item->ReadLost || Item->Stalled ||
          !Item->StoreAccepts || !Item->Alive)
        continue;
      Item->Reading = false;
      Events.after(MessageDelay, [Item = Item.get()] {
        if (!Item->Alive)
          return;
        Item->Pacing.onAnswer();
        Item->applyStore();
        Item->readStore();
      });
    }
  }

  /// From now on the store accepts reads and answers none, not even those that
  /// are open.
  void silenceStore() {
    Silent = true;
    loseOpenReads();
  }
  /// From now on the store answers reads that begin.
  void restoreStore() { Silent = false; }

  /// No open read is answered.
  void loseOpenReads() {
    for (auto &[Name, Item] : Nodes)
      Item->loseOpenRead();
  }

  void run(Duration Span) { Events.runUntil(Events.now() + Span); }

  /// \param Included returns true for the nodes to consider.
  /// \returns the longest time until a node applied the latest published
  /// version, or 1000 s if some node has not applied it.
  Duration propagationTime(
      const std::function<bool(const SimulatedNode &)> &Included) const {
    Duration Result;
    for (const auto &[Name, Item] : Nodes) {
      if (!Item->Alive || !Included(*Item))
        continue;
      if (Item->Version != Version)
        return Duration::seconds(1000);
      Result = std::max(Result, Item->AppliedAt - Published);
    }
    return Result;
  }
  Duration propagationTime() const {
    return propagationTime([](const SimulatedNode &) { return true; });
  }

  /// \returns the node of the zone at \p Index in the order of
  /// DisseminationTopology; the first ones read the store in normal operation.
  SimulatedNode &nodeInOrder(const std::string &Zone, std::size_t Index = 0) {
    std::map<std::uint64_t, SimulatedNode *> Order;
    for (auto &[Name, Item] : Nodes)
      if (Item->Record.Zone == Zone)
        Order[stableHash(Name)] = Item.get();
    return *std::next(Order.begin(), static_cast<std::ptrdiff_t>(Index))
                ->second;
  }

  EventQueue Events;
  SeededRandom RandomSource{20261204};
  std::map<std::string, std::unique_ptr<SimulatedNode>> Nodes;
  /// Node records in the store, in the order of their writes.
  std::vector<NodeRecord> StoreRecords;
  std::uint64_t Version = 0;
  Instant Published;
  /// The store accepts reads and answers none.
  bool Silent = false;
  /// Calls to the store by all nodes.
  int StoreCalls = 0;
  /// Node records sent to nodes of another zone.
  std::size_t CrossZoneRecords = 0;
  /// Sent frames with crash reports.
  int CrashFrames = 0;
};

inline SimulatedNode::SimulatedNode(SimulatedFleet &Owner, NodeRecord Value)
    : Record(std::move(Value)), Owner(Owner),
      Pacing(StoreFeed::Configuration, Owner.RandomSource) {}

inline PeerDigest SimulatedNode::known() const {
  return {Version, Directory.digest()};
}

inline void SimulatedNode::start() {
  Disseminator = std::make_unique<UpdateDisseminator>(Owner.Events.clock(),
                                                      Owner.RandomSource, *this,
                                                      Record.Node, Record.Zone);
  Directory.add(Record);
  // Writes the record of the node.
  ++Owner.StoreCalls;
  if (StoreAccepts) {
    Owner.StoreRecords.push_back(Record);
    Owner.completeLongPolls();
    // Reads the configuration and the members.
    Owner.StoreCalls += 2;
    applyStore();
    Disseminator->onInitialMembers();
  }
  tick();
}

inline void SimulatedNode::applyStore() {
  applyVersion(Owner.Version);
  for (const NodeRecord &Item : Owner.StoreRecords)
    addRecord(Item);
}

inline void SimulatedNode::applyVersion(std::uint64_t Value) {
  if (Value <= Version)
    return;
  Version = Value;
  AppliedAt = Owner.Events.now();
  Disseminator->onStateChanged();
}

inline void SimulatedNode::addRecord(const NodeRecord &Other) {
  if (Directory.add(Other))
    Disseminator->onStateChanged();
}

inline void SimulatedNode::addCrashes(const PeerCrashes &Reports) {
  bool AnyNew = false;
  for (const CrashNotice &Notice : Reports.Notices)
    AnyNew |= Crashes.insert(Notice.Crash).second;
  if (AnyNew)
    Disseminator->forward(Reports);
}

inline void SimulatedNode::readStore() {
  if (!Alive)
    return;
  const bool Paused = !Reading && !Disseminator->shouldReadStore();
  Disseminator->onStoreReachability(StoreReachable && !Paused);
  if (!Reading && !Paused && Owner.Events.now() >= RetryDue)
    startRead();
}

inline void SimulatedNode::startRead() {
  ++Owner.StoreCalls;
  SentAt = Owner.Events.now();
  if (!StoreAccepts) {
    onReadFailure();
    return;
  }
  Reading = true;
  ReadLost = Owner.Silent;
  const std::uint64_t Generation = ++ReadGeneration;
  const Duration Wait = Pacing.longPollTimeout(Disseminator->readerRole(),
                                               Owner.Events.clock().wallNow());
  const auto AfterUnlessEnded = [&](Duration Span, auto Action) {
    Owner.Events.after(Span, [this, Generation, Action] {
      if (Alive && Reading && ReadGeneration == Generation)
        Action();
    });
  };
  AfterUnlessEnded(Wait, [this] {
    if (!ReadLost)
      onReadEnd();
  });
  AfterUnlessEnded(Wait + StoreReadPacing::ResponseTimeout,
                   [this] { onReadFailure(); });
  if (ReadLost)
    return;
  applyStore();
  StoreReachable = true;
  Disseminator->onStoreReachability(true);
}

inline void SimulatedNode::onReadEnd() {
  Reading = false;
  Pacing.onAnswer();
  readStore();
}

inline void SimulatedNode::onReadFailure() {
  Reading = false;
  StoreReachable = false;
  Disseminator->onStoreReachability(false);
  const Duration Delay =
      Pacing.onFailure(Disseminator->readerRole(), Owner.Events.now() - SentAt);
  RetryDue = Owner.Events.now() + Delay;
  Owner.Events.after(Delay, [this] { readStore(); });
}

inline void SimulatedNode::rejectStoreCalls() {
  StoreAccepts = false;
  Reading = false;
  StoreReachable = false;
  Disseminator->onStoreReachability(false);
}

inline void SimulatedNode::tick() {
  if (!Alive)
    return;
  readStore();
  Disseminator->tick();
  Owner.Events.after(UpdateDisseminator::PollInterval, [this] { tick(); });
}

inline void SimulatedNode::scheduleWakeup(Duration Span) {
  const std::uint64_t Generation = ++TimerGeneration;
  Owner.Events.after(Span, [this, Generation] {
    if (Generation != TimerGeneration || !Alive)
      return;
    Disseminator->onTimer();
    readStore();
  });
}

inline void SimulatedNode::send(const std::string &Name,
                                const PeerFrame &Frame) {
  const auto Found = Owner.Nodes.find(Name);
  if (Found == Owner.Nodes.end())
    return;
  SimulatedNode *Target = Found->second.get();
  if (!Target->Alive || !Target->Disseminator) {
    Owner.Events.after(ConnectFailureDelay,
                       [this, Name] { UnreachableNodes.insert(Name); });
    return;
  }
  if (std::holds_alternative<PeerCrashes>(Frame))
    ++Owner.CrashFrames;
  if (const auto *Update = std::get_if<PeerUpdate>(&Frame))
    if (Target->Record.Zone != Record.Zone)
      Owner.CrossZoneRecords += Update->Members.size();
  Owner.Events.after(MessageDelay, [Target, From = Record.Node, Frame] {
    if (Target->Alive && !Target->UnreachableNodes.contains(From))
      Target->receive(From, Frame);
  });
}

inline void SimulatedNode::receive(const std::string &From,
                                   const PeerFrame &Frame) {
  if (const auto *Poll = std::get_if<PeerPoll>(&Frame)) {
    send(From, Disseminator->onPoll(From, Poll->Digest));
  } else if (const auto *Answer = std::get_if<PeerPollAnswer>(&Frame)) {
    Disseminator->onPollAnswer(From, *Answer);
  } else if (const auto *Digest = std::get_if<PeerDigest>(&Frame)) {
    Disseminator->onNotice(From, *Digest);
  } else if (const auto *Request = std::get_if<PeerUpdateRequest>(&Frame)) {
    PeerUpdate Update;
    Update.Configuration = Version;
    if (Request->Members != 0)
      for (const NodeRecord *Item :
           Directory.recordsInDifferingBuckets(Request->Parts))
        Update.Members.push_back({Item->Node, Item->toJson()});
    send(From, Update);
  } else if (const auto *Update = std::get_if<PeerUpdate>(&Frame)) {
    applyVersion(Update->Configuration);
    for (const MemberUpdate &Item : Update->Members)
      addRecord(*NodeRecord::parse(Item.Record));
  } else if (const auto *Reports = std::get_if<PeerCrashes>(&Frame)) {
    addCrashes(*Reports);
  }
}

} // namespace camphorpin::test

#endif
