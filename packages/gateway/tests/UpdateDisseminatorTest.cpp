// Guards the fleet's view of the store: a configuration is in force everywhere
// in time whatever nodes and connections fail, and the calls to the store do
// not grow with the product of nodes and changes.
#include "NewsFleet.h"

#include <criterion/criterion.h>
#include <string>
#include <vector>

using namespace camphorpin;
using test::NewsFleet;
using test::SimulatedNode;

namespace {

/// What the platform allows until a configuration is in force.
constexpr Duration ApplyWithin = Duration::seconds(2);
/// The same for nodes that the store turns away.
constexpr Duration ApplyWithoutStore = Duration::seconds(7);

} // namespace

Test(UpdateDisseminator, configurationIsInForceEverywhereAtOnce) {
  for (const int Nodes : {1, 2, 13, 91, 300}) {
    NewsFleet All(Nodes, 3);
    All.run(Duration::seconds(4));
    for (int Change = 0; Change < 5; ++Change) {
      All.publish();
      All.run(Duration::seconds(2));
      cr_assert_leq(All.spreadTime(), Duration::millis(500),
                    "%d nodes: %.0f ms", Nodes, All.spreadTime().toMillis());
    }
  }
}

Test(UpdateDisseminator, callsToTheStoreDoNotGrowWithNodesTimesChanges) {
  NewsFleet All(300, 3);
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

Test(UpdateDisseminator, lossOfAllReadersOfAZoneCostsLessThanTheBound) {
  for (const int Nodes : {13, 91}) {
    NewsFleet All(Nodes, 3);
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

Test(UpdateDisseminator, silentReadsOfAZoneDoNotHoldItBack) {
  NewsFleet All(91, 3);
  All.run(Duration::seconds(4));
  All.reader("zone-0", 0).Silent = true;
  All.reader("zone-0", 1).Silent = true;
  All.publish();
  All.run(Duration::seconds(3));
  cr_assert_leq(All.spreadTime(), ApplyWithin, "%.0f ms",
                All.spreadTime().toMillis());
}

Test(UpdateDisseminator, nodeThatIsCutOffFromTheOthersReadsItself) {
  NewsFleet All(91, 3);
  All.run(Duration::seconds(4));
  SimulatedNode &Cut = All.reader("zone-0", 20);
  for (auto &[Name, Item] : All.Nodes) {
    Item->Failing.insert(Cut.Record.Node);
    Cut.Failing.insert(Name);
  }
  All.publish();
  All.run(Duration::seconds(3));
  cr_assert_leq(All.spreadTime(), ApplyWithin);
}

Test(UpdateDisseminator, nodesThatTheStoreTurnsAwayLearnFromOthers) {
  NewsFleet All(91, 3);
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
  cr_assert_leq(
      All.spreadTime([](const SimulatedNode &Item) { return Item.Served; }),
      ApplyWithin);
  cr_assert_leq(All.spreadTime(), ApplyWithoutStore, "%.0f ms",
                All.spreadTime().toMillis());
}

Test(UpdateDisseminator, outageOfTheStoreCostsFewCallsAndItsEndIsNoticedSoon) {
  NewsFleet All(91, 3);
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

Test(UpdateDisseminator, newNodeIsKnownEverywhereSoon) {
  NewsFleet All(91, 3);
  All.run(Duration::seconds(4));
  NodeRecord Record = All.reader("zone-2").Record;
  Record.Node = "node-new";
  All.add(Record);
  All.run(Duration::millis(2500));
  for (const auto &[Name, Item] : All.Nodes)
    cr_assert(Item->Directory.all().contains("node-new"), "unknown to %s",
              Name.c_str());
}

Test(UpdateDisseminator, nodeThatCanNotWriteItsRecordIsKnownEverywhereAsWell) {
  NewsFleet All(91, 3);
  All.run(Duration::seconds(4));
  NodeRecord Record = All.reader("zone-2").Record;
  Record.Node = "node-new";
  SimulatedNode &Added = All.add(Record);
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

Test(UpdateDisseminator, restartOfAFleetMovesFewRecordsBetweenZones) {
  NewsFleet All(300, 3);
  All.run(Duration::seconds(8));
  cr_assert_leq(All.CrossZoneRecords, 300U * 6, "%zu records",
                All.CrossZoneRecords);
}
