#include "camphorpin/src/Gateway/StorePacing.h"

#include <criterion/criterion.h>

using namespace camphorpin;

namespace {

/// \returns the calls a second of a fleet of \p Nodes while records of
/// \p Feed change all the time.
double callsPerSecond(StoreFeed Feed, std::size_t Nodes) {
  const Duration Pause = StorePacing::batchPause(Feed, Nodes);
  return static_cast<double>(Nodes) * 1000 / Pause.toMillis();
}

} // namespace

// Guards the store's rate of calls (1,200 writes and 6,000 reads a second for
// 91 nodes) against a rolling restart, of which every node reads every step:
// the calls must not grow faster than the fleet up to 100 nodes.
Test(StorePacing, changesOfMembersCostAFleetTheSameCalls) {
  const double Small = callsPerSecond(StoreFeed::Members, 20);
  cr_assert_leq(callsPerSecond(StoreFeed::Members, 100), Small);
  cr_assert_leq(callsPerSecond(StoreFeed::Members, 50), Small);
}

// Guards the bound on the time in which a new backend server gets requests, and
// that in which a configuration is in force.
Test(StorePacing, changesAreReadInTime) {
  for (const std::size_t Nodes : {1U, 13U, 91U, 300U, 7100U}) {
    cr_assert_leq(StorePacing::batchPause(StoreFeed::Members, Nodes),
                  Duration::seconds(2));
    cr_assert_leq(StorePacing::batchPause(StoreFeed::Configuration, Nodes),
                  Duration::millis(500));
  }
}

// Guards a fleet against silent reads that nobody replaces: some node's read of
// the configuration ends soon, and idle nodes cost few calls.
Test(StorePacing, readsEndOftenInTheFleetAndRarelyAtANode) {
  SeededRandom Source(20261204);
  for (const std::size_t Nodes : {1U, 13U, 91U, 7100U}) {
    const Duration Span =
        StorePacing::readSpan(StoreFeed::Configuration, Nodes, Source);
    cr_assert_geq(Span, Duration::millis(2800));
    cr_assert_leq(Span, Duration::seconds(25));
  }
  const Duration OfMembers =
      StorePacing::readSpan(StoreFeed::Members, 13, Source);
  cr_assert_eq(OfMembers, Duration::seconds(25));
}
