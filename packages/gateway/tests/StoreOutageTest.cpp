// Guards against an outdated configuration after the store was silent: it
// accepted reads, never answered them, and left their connections open.
#include "SimulatedFleet.h"

#include <criterion/criterion.h>

using namespace camphorpin;
using test::SimulatedFleet;

namespace {

/// Time after the end of a disturbance of the store or of connections from
/// which the platform requires the newest configuration (stable_window_ms).
constexpr Duration StableWindow = Duration::seconds(3);

/// \returns a fleet in which all nodes have read a change \p Age ago.
std::unique_ptr<SimulatedFleet> fleetAfterChange(int Nodes, Duration Age) {
  auto Fleet = std::make_unique<SimulatedFleet>(Nodes, 3);
  Fleet->run(Duration::seconds(9));
  Fleet->publish();
  Fleet->run(Age);
  return Fleet;
}

void assertApplied(SimulatedFleet &Fleet, Duration Outage) {
  Fleet.publish();
  Fleet.run(StableWindow + Duration::seconds(1));
  cr_assert_leq(Fleet.propagationTime(), StableWindow,
                "%zu nodes, outage of %.0f ms: %.0f ms", Fleet.Nodes.size(),
                Outage.toMillis(), Fleet.propagationTime().toMillis());
}

} // namespace

Test(StoreOutage, configurationIsAppliedAfterSilenceOfTheStore) {
  for (const int Nodes : {13, 91, 2, 1}) {
    for (int Millis = 500; Millis <= 12000; Millis += 500) {
      const Duration Outage = Duration::millis(Millis);
      const std::unique_ptr<SimulatedFleet> Fleet =
          fleetAfterChange(Nodes, Duration::millis(600));
      Fleet->silenceStore();
      Fleet->run(Outage);
      Fleet->restoreStore();
      assertApplied(*Fleet, Outage);
    }
  }
}

Test(StoreOutage, configurationIsAppliedAfterOpenReadsAreLost) {
  for (const int Nodes : {13, 91, 2, 1}) {
    for (int Millis = 100; Millis <= 9000; Millis += 700) {
      const std::unique_ptr<SimulatedFleet> Fleet =
          fleetAfterChange(Nodes, Duration::millis(Millis));
      Fleet->loseOpenReads();
      assertApplied(*Fleet, Duration());
    }
  }
}

// Guards against nodes that wait for their own read of the store while it
// rejects them.
Test(StoreOutage, nodesWithoutTheStoreTakeUpdatesOfPeersAtOnce) {
  SimulatedFleet Fleet(91, 3);
  Fleet.publish();
  Fleet.run(Duration::seconds(4));
  for (auto &[Name, Item] : Fleet.Nodes)
    Item->rejectStoreCalls();
  Fleet.run(Duration::seconds(4));
  Fleet.nodeInOrder("zone-0").StoreAccepts = true;
  Fleet.run(Duration::seconds(4));
  Fleet.publish();
  Fleet.run(Duration::seconds(2));
  cr_assert_leq(Fleet.propagationTime(), Duration::millis(500), "%.0f ms",
                Fleet.propagationTime().toMillis());
}
