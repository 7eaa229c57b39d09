// Guards the dissemination of updates: a configuration is applied everywhere in
// time whatever nodes and connections fail, and the number of calls to the
// store does not grow with the product of nodes and changes.
#include "SimulatedFleet.h"

#include <criterion/criterion.h>
#include <string>
#include <vector>

using namespace camphorpin;
using test::SimulatedFleet;
using test::SimulatedNode;

namespace {

/// Time limit of the platform until a configuration is applied.
constexpr Duration ApplyTimeLimit = Duration::seconds(2);
/// The same for nodes whose calls the store rejects.
constexpr Duration ApplyTimeLimitWithoutStore = Duration::seconds(7);
/// Time limit until a crash report is known everywhere: clients repeat a
/// request after about a second.
constexpr Duration CrashReportTimeLimit = Duration::millis(500);

} // namespace

Test(UpdateDisseminator, appliesConfigurationOnAllNodesPromptly) {
  for (const int Nodes : {1, 2, 13, 91, 300}) {
    SimulatedFleet Fleet(Nodes, 3);
    Fleet.run(Duration::seconds(4));
    for (int Change = 0; Change < 5; ++Change) {
      Fleet.publish();
      Fleet.run(Duration::seconds(2));
      cr_assert_leq(Fleet.propagationTime(), Duration::millis(500),
                    "%d nodes: %.0f ms", Nodes,
                    Fleet.propagationTime().toMillis());
    }
  }
}

Test(UpdateDisseminator, storeCallsDoNotGrowWithNodesTimesChanges) {
  SimulatedFleet Fleet(300, 3);
  Fleet.run(Duration::seconds(4));
  // Each node writes its record and reads both feeds once.
  cr_assert_leq(Fleet.StoreCalls, 300 * 4, "%d calls", Fleet.StoreCalls);
  const int Before = Fleet.StoreCalls;
  for (int Change = 0; Change < 20; ++Change) {
    Fleet.publish();
    Fleet.run(Duration::seconds(1));
  }
  cr_assert_leq(Fleet.StoreCalls - Before, 20 * 3 * 2 + 20, "%d calls",
                Fleet.StoreCalls - Before);
}

Test(UpdateDisseminator, losingAllReadersOfAZoneKeepsTheTimeLimit) {
  for (const int Nodes : {13, 91}) {
    SimulatedFleet Fleet(Nodes, 3);
    Fleet.run(Duration::seconds(4));
    Fleet.nodeInOrder("zone-0", 0).Alive = false;
    Fleet.nodeInOrder("zone-0", 1).Alive = false;
    Fleet.publish();
    Fleet.run(Duration::seconds(3));
    cr_assert_leq(Fleet.propagationTime(), ApplyTimeLimit, "%d nodes: %.0f ms",
                  Nodes, Fleet.propagationTime().toMillis());
    // Other nodes take over as readers, and none of them reads only for
    // itself.
    Fleet.run(Duration::seconds(5));
    const int Before = Fleet.StoreCalls;
    Fleet.publish();
    Fleet.run(Duration::seconds(1));
    cr_assert_leq(Fleet.propagationTime(), Duration::millis(500));
    cr_assert_leq(Fleet.StoreCalls - Before, 3 * 2 + 2, "%d nodes: %d calls",
                  Nodes, Fleet.StoreCalls - Before);
  }
}

Test(UpdateDisseminator, stalledLongPollsOfAZoneKeepTheTimeLimit) {
  SimulatedFleet Fleet(91, 3);
  Fleet.run(Duration::seconds(4));
  Fleet.nodeInOrder("zone-0", 0).Stalled = true;
  Fleet.nodeInOrder("zone-0", 1).Stalled = true;
  Fleet.publish();
  Fleet.run(Duration::seconds(3));
  cr_assert_leq(Fleet.propagationTime(), ApplyTimeLimit, "%.0f ms",
                Fleet.propagationTime().toMillis());
}

Test(UpdateDisseminator, partitionedNodeReadsTheStoreItself) {
  SimulatedFleet Fleet(91, 3);
  Fleet.run(Duration::seconds(4));
  SimulatedNode &Cut = Fleet.nodeInOrder("zone-0", 20);
  for (auto &[Name, Item] : Fleet.Nodes) {
    Item->UnreachableNodes.insert(Cut.Record.Node);
    Cut.UnreachableNodes.insert(Name);
  }
  Fleet.publish();
  Fleet.run(Duration::seconds(3));
  cr_assert_leq(Fleet.propagationTime(), ApplyTimeLimit);
}

Test(UpdateDisseminator, nodesRejectedByTheStoreGetUpdatesFromPeers) {
  SimulatedFleet Fleet(91, 3);
  Fleet.run(Duration::seconds(4));
  for (auto &[Name, Item] : Fleet.Nodes) {
    if (Fleet.RandomSource.uniform01() < 0.35)
      Item->rejectStoreCalls();
  }
  // The worst case: the store rejects all readers of a zone.
  for (std::size_t Index = 0; Index < 2; ++Index)
    Fleet.nodeInOrder("zone-1", Index).rejectStoreCalls();
  Fleet.run(Duration::seconds(1));
  Fleet.publish();
  Fleet.run(Duration::seconds(8));
  cr_assert_leq(Fleet.propagationTime([](const SimulatedNode &Item) {
    return Item.StoreAccepts;
  }),
                ApplyTimeLimit);
  cr_assert_leq(Fleet.propagationTime(), ApplyTimeLimitWithoutStore, "%.0f ms",
                Fleet.propagationTime().toMillis());
}

Test(UpdateDisseminator, storeOutageCostsFewCallsAndRecoveryIsFast) {
  SimulatedFleet Fleet(91, 3);
  Fleet.run(Duration::seconds(4));
  const int Before = Fleet.StoreCalls;
  for (auto &[Name, Item] : Fleet.Nodes)
    Item->rejectStoreCalls();
  Fleet.run(Duration::seconds(8));
  cr_assert_leq(Fleet.StoreCalls - Before, 91 * 4, "%d calls",
                Fleet.StoreCalls - Before);
  for (auto &[Name, Item] : Fleet.Nodes)
    Item->StoreAccepts = true;
  Fleet.publish();
  Fleet.run(Duration::seconds(3));
  cr_assert_leq(Fleet.propagationTime(), ApplyTimeLimit, "%.0f ms",
                Fleet.propagationTime().toMillis());
}

Test(UpdateDisseminator, newNodeBecomesKnownToAllNodes) {
  SimulatedFleet Fleet(91, 3);
  Fleet.run(Duration::seconds(4));
  NodeRecord Record = Fleet.nodeInOrder("zone-2").Record;
  Record.Node = "node-new";
  Fleet.add(Record);
  Fleet.run(Duration::millis(2500));
  for (const auto &[Name, Item] : Fleet.Nodes)
    cr_assert(Item->Directory.all().contains("node-new"), "unknown to %s",
              Name.c_str());
}

Test(UpdateDisseminator, nodeThatCannotWriteItsRecordBecomesKnownToAllNodes) {
  SimulatedFleet Fleet(91, 3);
  Fleet.run(Duration::seconds(4));
  NodeRecord Record = Fleet.nodeInOrder("zone-2").Record;
  Record.Node = "node-new";
  SimulatedNode &Added = Fleet.add(Record);
  Added.StoreAccepts = false;
  Added.Version = 0;
  // The node learns about one other node from an incoming call.
  Fleet.run(Duration::millis(400));
  Added.addRecord(Fleet.nodeInOrder("zone-2").Record);
  Fleet.run(Duration::seconds(6));
  for (const auto &[Name, Item] : Fleet.Nodes)
    cr_assert(Item->Directory.all().contains("node-new"), "unknown to %s",
              Name.c_str());
}

Test(UpdateDisseminator, fleetRestartTransfersFewRecordsBetweenZones) {
  SimulatedFleet Fleet(300, 3);
  Fleet.run(Duration::seconds(8));
  cr_assert_leq(Fleet.CrossZoneRecords, 300U * 6, "%zu records",
                Fleet.CrossZoneRecords);
}

// Guards against a request that crashes one backend server after the other,
// because the nodes that see the crashes have no connection to each other.
Test(UpdateDisseminator, crashReportsReachAllNodes) {
  for (const int Nodes : {2, 13, 91, 300}) {
    SimulatedFleet Fleet(Nodes, 3);
    Fleet.run(Duration::seconds(4));
    SimulatedNode &Reporter =
        Fleet.nodeInOrder("zone-0", static_cast<std::size_t>(Nodes / 3 - 1));
    Reporter.addCrashes({{{1, 7, Duration()}}});
    Fleet.run(CrashReportTimeLimit);
    for (const auto &[Name, Item] : Fleet.Nodes)
      cr_assert(Item->Crashes.contains(7), "%d nodes: unknown to %s", Nodes,
                Name.c_str());
    // Each of the followed nodes, followers and readers gets a report once from
    // each of its neighbours.
    cr_assert_leq(Fleet.CrashFrames, Nodes * 4 + 30, "%d nodes: %d frames",
                  Nodes, Fleet.CrashFrames);
  }
}

// The same while the readers of a zone have just stopped.
Test(UpdateDisseminator, crashReportsPassStoppedReaders) {
  SimulatedFleet Fleet(91, 3);
  Fleet.run(Duration::seconds(4));
  Fleet.nodeInOrder("zone-1", 0).Alive = false;
  Fleet.nodeInOrder("zone-1", 1).Alive = false;
  Fleet.run(Duration::seconds(3));
  Fleet.nodeInOrder("zone-0", 20).addCrashes({{{1, 7, Duration()}}});
  Fleet.run(CrashReportTimeLimit);
  for (const auto &[Name, Item] : Fleet.Nodes)
    cr_assert(!Item->Alive || Item->Crashes.contains(7), "unknown to %s",
              Name.c_str());
}
