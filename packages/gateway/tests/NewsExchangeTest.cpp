// Guards the fleet's view of the store: a configuration is in force everywhere
// in time whatever nodes and connections fail, and the calls to the store do
// not grow with the product of nodes and changes.
#include "camphorpin/src/Gateway/NewsExchange.h"
#include "EventQueue.h"
#include "camphorpin/src/Gateway/StorePacing.h"

#include <criterion/criterion.h>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace camphorpin;
using test::EventQueue;

namespace {

constexpr Duration Hop = Duration::millis(1);
/// How long a connection to a node that has gone takes to fail.
constexpr Duration ConnectTime = Duration::millis(700);
/// What the platform allows until a configuration is in force.
constexpr Duration ApplyWithin = Duration::seconds(2);
/// The same for nodes that the store turns away.
constexpr Duration ApplyWithoutStore = Duration::seconds(7);

class Fleet;

/// A node that only exchanges news.
class Node final : public NewsActions {
public:
  Node(Fleet &Owner, NodeRecord Record);

  PeerNotice known() const override;
  const NodeDirectory &directory() const override { return Directory; }
  bool reachable(const std::string &Name) const override {
    return !Failing.contains(Name);
  }
  void send(const std::string &Name, const PeerFrame &Frame) override;
  void sendToCaller(const std::string &Name, const PeerFrame &Frame) override {
    send(Name, Frame);
  }
  void sendToAnyCaller(const PeerFrame &) override {}
  void wakeAfter(Duration Span) override;

  void start();
  void receive(const std::string &From, const PeerFrame &Frame);
  void learn(const NodeRecord &Other);
  void adopt(std::uint64_t Version);
  void readStore();
  /// The store turns this node away from now on.
  void loseStore();

  NodeRecord Record;
  NodeDirectory Directory;
  std::uint64_t Version = 0;
  /// When it has adopted the latest version.
  Instant Adopted;
  bool Alive = true;
  /// The store serves it.
  bool Served = true;
  /// Its open read has gone silent: changes don't reach it.
  bool Silent = false;
  std::set<std::string> Failing;
  std::unique_ptr<NewsExchange> Exchange;

private:
  friend class Fleet;
  void tick();
  void applyStore();

  Fleet &Owner;
  std::uint64_t Wake = 0;
  bool Waiting = false;
  Instant Retry;
  unsigned Failures = 0;
};

/// Nodes, the store and the time in which they live.
class Fleet {
public:
  Fleet(int Nodes, int Zones) {
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

  Node &add(NodeRecord Record) {
    const std::string Name = Record.Node;
    Nodes[Name] = std::make_unique<Node>(*this, std::move(Record));
    Node &Added = *Nodes[Name];
    Events.after(Duration::millis(300) * Source.unit(),
                 [&Added] { Added.start(); });
    return Added;
  }

  /// The operator writes a configuration.
  void publish() {
    ++Version;
    Published = Events.now();
    changed();
  }

  /// Tells the nodes whose reads wait.
  void changed() {
    for (auto &[Name, Item] : Nodes) {
      if (!Item->Waiting || Item->Silent || !Item->Served || !Item->Alive)
        continue;
      Item->Waiting = false;
      Events.after(Hop, [Item = Item.get()] {
        if (!Item->Alive)
          return;
        Item->applyStore();
        Item->readStore();
      });
    }
  }

  void run(Duration Span) { Events.runUntil(Events.now() + Span); }

  /// \returns the longest time that a node took to adopt the version that was
  /// published last; never if one has not.
  Duration spreadTime(const std::function<bool(const Node &)> &Counts) const {
    Duration Result;
    for (const auto &[Name, Item] : Nodes) {
      if (!Item->Alive || !Counts(*Item))
        continue;
      if (Item->Version != Version)
        return Duration::seconds(1000);
      Result = std::max(Result, Item->Adopted - Published);
    }
    return Result;
  }
  Duration spreadTime() const {
    return spreadTime([](const Node &) { return true; });
  }

  /// \returns a node of the zone that reads the store if all is well.
  Node &reader(const std::string &Zone, std::size_t Index = 0) {
    std::map<std::uint64_t, Node *> Order;
    for (auto &[Name, Item] : Nodes)
      if (Item->Record.Zone == Zone)
        Order[stableHash(Name)] = Item.get();
    return *std::next(Order.begin(), static_cast<std::ptrdiff_t>(Index))
                ->second;
  }

  EventQueue Events;
  SeededRandom Source{20261204};
  std::map<std::string, std::unique_ptr<Node>> Nodes;
  std::vector<NodeRecord> Records;
  std::uint64_t Version = 0;
  Instant Published;
  int Calls = 0;
  std::size_t CrossZoneRecords = 0;
};

Node::Node(Fleet &Owner, NodeRecord Value)
    : Record(std::move(Value)), Owner(Owner) {}

PeerNotice Node::known() const { return {Version, Directory.digest()}; }

void Node::start() {
  Exchange = std::make_unique<NewsExchange>(Owner.Events.clock(), Owner.Source,
                                            *this, Record.Node, Record.Zone);
  Directory.add(Record);
  ++Owner.Calls;
  if (Served) {
    Owner.Records.push_back(Record);
    Owner.changed();
    Owner.Calls += 2;
    applyStore();
    Exchange->onFirstMembers();
  }
  tick();
}

void Node::applyStore() {
  adopt(Owner.Version);
  for (const NodeRecord &Item : Owner.Records)
    learn(Item);
}

void Node::adopt(std::uint64_t Value) {
  if (Value <= Version)
    return;
  Version = Value;
  Adopted = Owner.Events.now();
  Exchange->onLearned();
}

void Node::learn(const NodeRecord &Other) {
  if (Directory.add(Other))
    Exchange->onLearned();
}

void Node::readStore() {
  if (!Alive)
    return;
  if (!Exchange->reads() || Waiting) {
    Exchange->onStore(Waiting && Exchange->reads());
    return;
  }
  if (Owner.Events.now() < Retry)
    return;
  ++Owner.Calls;
  if (!Served) {
    Exchange->onStore(false);
    const Duration Pause =
        StorePacing::retryPause(Exchange->leads(), ++Failures, Owner.Source);
    Retry = Owner.Events.now() + Pause;
    Owner.Events.after(Pause, [this] { readStore(); });
    return;
  }
  Failures = 0;
  applyStore();
  Waiting = true;
  Exchange->onStore(true);
}

void Node::loseStore() {
  Served = false;
  Waiting = false;
  Exchange->onStore(false);
}

void Node::tick() {
  if (!Alive)
    return;
  readStore();
  Exchange->tick();
  Owner.Events.after(NewsExchange::PollInterval, [this] { tick(); });
}

void Node::wakeAfter(Duration Span) {
  const std::uint64_t Number = ++Wake;
  Owner.Events.after(Span, [this, Number] {
    if (Number != Wake || !Alive)
      return;
    Exchange->onTimer();
    readStore();
  });
}

void Node::send(const std::string &Name, const PeerFrame &Frame) {
  const auto Found = Owner.Nodes.find(Name);
  if (Found == Owner.Nodes.end())
    return;
  Node *Target = Found->second.get();
  if (!Target->Alive || !Target->Exchange) {
    Owner.Events.after(ConnectTime, [this, Name] { Failing.insert(Name); });
    return;
  }
  if (const auto *News = std::get_if<PeerNews>(&Frame))
    if (Target->Record.Zone != Record.Zone)
      Owner.CrossZoneRecords += News->Members.size();
  Owner.Events.after(Hop, [Target, From = Record.Node, Frame] {
    if (Target->Alive && !Target->Failing.contains(From))
      Target->receive(From, Frame);
  });
}

void Node::receive(const std::string &From, const PeerFrame &Frame) {
  if (const auto *Poll = std::get_if<PeerPoll>(&Frame)) {
    send(From, Exchange->onPoll(From, Poll->Known));
  } else if (const auto *Answer = std::get_if<PeerPollAnswer>(&Frame)) {
    Exchange->onPollAnswer(From, *Answer);
  } else if (const auto *Told = std::get_if<PeerNotice>(&Frame)) {
    Exchange->onNotice(From, *Told);
  } else if (const auto *Request = std::get_if<PeerNewsRequest>(&Frame)) {
    PeerNews News;
    News.Configuration = Version;
    if (Request->Members != 0)
      for (const NodeRecord *Item : Directory.differing(Request->Parts))
        News.Members.push_back({Item->Node, Item->toJson()});
    send(From, News);
  } else if (const auto *News = std::get_if<PeerNews>(&Frame)) {
    adopt(News->Configuration);
    for (const MemberNews &Item : News->Members)
      learn(*NodeRecord::parse(Item.Record));
  }
}

} // namespace

Test(NewsExchange, configurationIsInForceEverywhereAtOnce) {
  for (const int Nodes : {1, 2, 13, 91, 300}) {
    Fleet All(Nodes, 3);
    All.run(Duration::seconds(4));
    for (int Change = 0; Change < 5; ++Change) {
      All.publish();
      All.run(Duration::seconds(2));
      cr_assert_leq(All.spreadTime(), Duration::millis(500),
                    "%d nodes: %.0f ms", Nodes, All.spreadTime().toMillis());
    }
  }
}

Test(NewsExchange, callsToTheStoreDoNotGrowWithNodesTimesChanges) {
  Fleet All(300, 3);
  All.run(Duration::seconds(4));
  // Each node writes its record and reads both feeds once.
  cr_assert_leq(All.Calls, 300 * 4, "%d calls", All.Calls);
  const int Before = All.Calls;
  for (int Change = 0; Change < 20; ++Change) {
    All.publish();
    All.run(Duration::seconds(1));
  }
  cr_assert_leq(All.Calls - Before, 20 * 3 * 2 + 20, "%d calls",
                All.Calls - Before);
}

Test(NewsExchange, lossOfAllReadersOfAZoneCostsLessThanTheBound) {
  for (const int Nodes : {13, 91}) {
    Fleet All(Nodes, 3);
    All.run(Duration::seconds(4));
    All.reader("zone-0", 0).Alive = false;
    All.reader("zone-0", 1).Alive = false;
    All.publish();
    All.run(Duration::seconds(3));
    cr_assert_leq(All.spreadTime(), ApplyWithin, "%d nodes: %.0f ms", Nodes,
                  All.spreadTime().toMillis());
    // The others go on without them, and none of them reads for itself only.
    All.run(Duration::seconds(5));
    const int Before = All.Calls;
    All.publish();
    All.run(Duration::seconds(1));
    cr_assert_leq(All.spreadTime(), Duration::millis(500));
    cr_assert_leq(All.Calls - Before, 3 * 2 + 2, "%d nodes: %d calls", Nodes,
                  All.Calls - Before);
  }
}

Test(NewsExchange, silentReadsOfAZoneDoNotHoldItBack) {
  Fleet All(91, 3);
  All.run(Duration::seconds(4));
  All.reader("zone-0", 0).Silent = true;
  All.reader("zone-0", 1).Silent = true;
  All.publish();
  All.run(Duration::seconds(3));
  cr_assert_leq(All.spreadTime(), ApplyWithin, "%.0f ms",
                All.spreadTime().toMillis());
}

Test(NewsExchange, nodeThatIsCutOffFromTheOthersReadsItself) {
  Fleet All(91, 3);
  All.run(Duration::seconds(4));
  Node &Cut = All.reader("zone-0", 20);
  for (auto &[Name, Item] : All.Nodes) {
    Item->Failing.insert(Cut.Record.Node);
    Cut.Failing.insert(Name);
  }
  All.publish();
  All.run(Duration::seconds(3));
  cr_assert_leq(All.spreadTime(), ApplyWithin);
}

Test(NewsExchange, nodesThatTheStoreTurnsAwayLearnFromOthers) {
  Fleet All(91, 3);
  All.run(Duration::seconds(4));
  for (auto &[Name, Item] : All.Nodes) {
    if (All.Source.unit() < 0.35)
      Item->loseStore();
  }
  // The worst case: no reader of a zone is served.
  for (std::size_t Index = 0; Index < 2; ++Index)
    All.reader("zone-1", Index).loseStore();
  All.run(Duration::seconds(1));
  All.publish();
  All.run(Duration::seconds(8));
  cr_assert_leq(All.spreadTime([](const Node &Item) { return Item.Served; }),
                ApplyWithin);
  cr_assert_leq(All.spreadTime(), ApplyWithoutStore, "%.0f ms",
                All.spreadTime().toMillis());
}

Test(NewsExchange, outageOfTheStoreCostsFewCallsAndItsEndIsNoticedSoon) {
  Fleet All(91, 3);
  All.run(Duration::seconds(4));
  const int Before = All.Calls;
  for (auto &[Name, Item] : All.Nodes)
    Item->loseStore();
  All.run(Duration::seconds(8));
  cr_assert_leq(All.Calls - Before, 91 * 4, "%d calls", All.Calls - Before);
  for (auto &[Name, Item] : All.Nodes)
    Item->Served = true;
  All.publish();
  All.run(Duration::seconds(3));
  cr_assert_leq(All.spreadTime(), ApplyWithin, "%.0f ms",
                All.spreadTime().toMillis());
}

Test(NewsExchange, newNodeIsKnownEverywhereSoon) {
  Fleet All(91, 3);
  All.run(Duration::seconds(4));
  NodeRecord Record = All.reader("zone-2").Record;
  Record.Node = "node-new";
  All.add(Record);
  All.run(Duration::millis(2500));
  for (const auto &[Name, Item] : All.Nodes)
    cr_assert(Item->Directory.all().contains("node-new"), "unknown to %s",
              Name.c_str());
}

Test(NewsExchange, nodeThatCanNotWriteItsRecordIsKnownEverywhereAsWell) {
  Fleet All(91, 3);
  All.run(Duration::seconds(4));
  NodeRecord Record = All.reader("zone-2").Record;
  Record.Node = "node-new";
  Node &Added = All.add(Record);
  Added.Served = false;
  Added.Version = 0;
  // It learns of one other node from a call.
  All.run(Duration::millis(400));
  Added.learn(All.reader("zone-2").Record);
  All.run(Duration::seconds(6));
  for (const auto &[Name, Item] : All.Nodes)
    cr_assert(Item->Directory.all().contains("node-new"), "unknown to %s",
              Name.c_str());
}

Test(NewsExchange, restartOfAFleetMovesFewRecordsBetweenZones) {
  Fleet All(300, 3);
  All.run(Duration::seconds(8));
  cr_assert_leq(All.CrossZoneRecords, 300U * 6, "%zu records",
                All.CrossZoneRecords);
}
