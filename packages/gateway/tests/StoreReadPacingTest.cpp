#include "camphorpin/src/Gateway/StoreReadPacing.h"

#include <criterion/criterion.h>

using namespace camphorpin;

namespace {

/// \returns the calls per second of \p Readers while records of \p Feed change
/// continuously.
double callsPerSecond(StoreFeed Feed, std::size_t Readers) {
  const Duration Delay = StoreReadPacing::batchDelay(Feed, Readers);
  return static_cast<double>(Readers) * 1000 / Delay.toMillis();
}

} // namespace

// Guards the store's rate limit (1,200 writes and 6,000 reads a second for 91
// nodes) during a rolling restart in which many nodes read every change because
// they can't reach each other: the number of calls must not grow with the
// number of readers.
Test(StoreReadPacing, memberCallsDoNotGrowWithReaders) {
  const double Small = callsPerSecond(StoreFeed::Members, 20);
  cr_assert_leq(callsPerSecond(StoreFeed::Members, 100), Small);
  cr_assert_leq(callsPerSecond(StoreFeed::Members, 50), Small);
}

// Guards the time limits until a new backend server gets requests and until a
// configuration is applied.
Test(StoreReadPacing, readsChangesInTime) {
  for (const std::size_t Readers : {1U, 6U, 91U, 300U, 7100U}) {
    cr_assert_leq(StoreReadPacing::batchDelay(StoreFeed::Members, Readers),
                  Duration::seconds(2));
    cr_assert_leq(
        StoreReadPacing::batchDelay(StoreFeed::Configuration, Readers),
        Duration::millis(500));
  }
}

// Guards against stalled long polls that go unnoticed, since some node's long
// poll of the configuration ends soon, and against idle nodes that make many
// calls.
Test(StoreReadPacing, longPollsEndOftenInTheFleetAndRarelyPerNode) {
  SeededRandom RandomSource(20261204);
  for (const std::size_t Readers : {1U, 6U, 18U, 7100U}) {
    const Duration Span = StoreReadPacing::longPollTimeout(
        StoreFeed::Configuration, Readers, RandomSource);
    cr_assert_geq(Span, Duration::millis(2800));
    cr_assert_leq(Span, Duration::seconds(25));
  }
  const Duration OfMembers =
      StoreReadPacing::longPollTimeout(StoreFeed::Members, 13, RandomSource);
  cr_assert_eq(OfMembers, Duration::seconds(25));
}

// Guards the store against retries of the whole fleet during an outage, and the
// fleet against detecting its end late.
Test(StoreReadPacing, followersRetryFailedReadsLessOften) {
  SeededRandom RandomSource(20261204);
  for (const unsigned Failures : {1U, 2U, 8U, 100U}) {
    cr_assert_leq(StoreReadPacing::retryBackoff(true, Failures, RandomSource),
                  Duration::millis(1800));
    cr_assert_geq(StoreReadPacing::retryBackoff(false, Failures, RandomSource),
                  Duration::seconds(1));
    cr_assert_leq(StoreReadPacing::retryBackoff(false, Failures, RandomSource),
                  Duration::seconds(6));
  }
}
