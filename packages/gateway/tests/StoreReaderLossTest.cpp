#include "SimulatedFleet.h"

#include <criterion/criterion.h>

using namespace camphorpin;
using test::SimulatedFleet;

namespace {

/// Time after the end of a disturbance of the store or of connections from
/// which the platform requires the newest configuration (stable_window_ms).
constexpr Duration StableWindow = Duration::seconds(3);

} // namespace

// Guards against an outdated configuration after open reads were lost while the
// readers of a zone have stopped and others have taken over. The other zones
// have tried to notify the stopped ones before.
Test(StoreReaderLoss, configurationIsAppliedAfterOpenReadsAreLost) {
  for (const int Nodes : {13, 91}) {
    for (int Millis = 100; Millis <= 9000; Millis += 700) {
      SimulatedFleet Fleet(Nodes, 3);
      Fleet.run(Duration::seconds(4));
      for (const std::size_t Index : {0U, 1U})
        Fleet.nodeInOrder("zone-0", Index).Alive = false;
      Fleet.run(Duration::seconds(5));
      Fleet.publish();
      Fleet.run(Duration::millis(Millis));
      Fleet.loseOpenReads();
      Fleet.publish();
      Fleet.run(StableWindow + Duration::seconds(1));
      cr_assert_leq(Fleet.propagationTime(), StableWindow,
                    "%d nodes, %d ms after a change: %.0f ms", Nodes, Millis,
                    Fleet.propagationTime().toMillis());
    }
  }
}

// The other zones have had nothing to notify the stopped readers of.
Test(StoreReaderLoss, firstConfigurationAfterReadersStoppedIsApplied) {
  for (const int Nodes : {13, 14, 91}) {
    for (const int Zones : {3, 5}) {
      for (int Millis = 0; Millis <= 9000; Millis += 500) {
        SimulatedFleet Fleet(Nodes, Zones);
        Fleet.run(Duration::seconds(4));
        for (const std::size_t Index : {0U, 1U})
          Fleet.nodeInOrder("zone-0", Index).Alive = false;
        Fleet.run(Duration::seconds(5) + Duration::millis(Millis));
        Fleet.loseOpenReads();
        Fleet.publish();
        Fleet.run(StableWindow + Duration::seconds(1));
        cr_expect_leq(Fleet.propagationTime(), StableWindow,
                      "%d nodes, %d zones, %d ms: %.0f ms", Nodes, Zones,
                      Millis, Fleet.propagationTime().toMillis());
      }
    }
  }
}
