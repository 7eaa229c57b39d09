#include "camphorpin/src/Gateway/StoreReadPacing.h"

#include <algorithm>
#include <cassert>

namespace camphorpin {

namespace {

/// Maximum time for which the store holds a long poll open. Each poll costs a
/// call.
constexpr Duration MaxLongPoll = Duration::seconds(25);
/// A long poll may stall without an error, which is noticed only when it ends.
/// In the whole fleet one long poll of the configuration ends every second, so
/// that some node soon detects a missed change and notifies the others.
constexpr Duration LongPollPerReader = Duration::seconds(1);
constexpr Duration MinLongPoll = Duration::seconds(4);
/// Random fraction by which a long poll is shortened, so that polls that
/// started together don't end together.
constexpr double LongPollJitter = 0.3;
/// Much shorter than the time within which a change of the configuration must
/// be applied.
constexpr Duration MinBatchDelay = Duration::millis(400);
/// The restart of a fleet changes the record of every node. While hosts come
/// and go, the connections to them show whether they answer, so their records
/// may arrive later.
constexpr Duration BatchDelayPerReader = Duration::millis(20);
constexpr Duration MaxBatchDelay = Duration::seconds(2);
/// First and maximum backoff of a failed read.
struct BackoffRange {
  Duration First;
  Duration Longest;
};
/// Other nodes depend on a designated reader, so it retries soon after an
/// outage. Its followers are notified by it, so they retry less often.
constexpr BackoffRange DesignatedReaderBackoff = {Duration::millis(150),
                                                  Duration::millis(1200)};
constexpr BackoffRange FollowerBackoff = {Duration::seconds(2),
                                          Duration::seconds(4)};
/// Maximum number of times that the first backoff is doubled.
constexpr unsigned MaxDoublings = 4;

} // namespace

Duration StoreReadPacing::longPollTimeout(StoreFeed Feed, std::size_t Readers,
                                          Random &RandomSource) {
  if (Feed != StoreFeed::Configuration)
    return MaxLongPoll;
  const Duration Fair = LongPollPerReader * static_cast<double>(Readers);
  const Duration Bounded = std::clamp(Fair, MinLongPoll, MaxLongPoll);
  return Bounded * (1 - LongPollJitter * RandomSource.uniform01());
}

Duration StoreReadPacing::retryBackoff(bool DesignatedReader, unsigned Failures,
                                       Random &RandomSource) {
  assert(Failures > 0 && "a read has failed");
  const BackoffRange &Range =
      DesignatedReader ? DesignatedReaderBackoff : FollowerBackoff;
  const unsigned Doublings = std::min(Failures - 1, MaxDoublings);
  const Duration Delay = std::min(
      Range.Longest, Range.First * static_cast<double>(1U << Doublings));
  return Delay * (0.5 + RandomSource.uniform01());
}

Duration StoreReadPacing::batchDelay(StoreFeed Feed, std::size_t Readers) {
  if (Feed != StoreFeed::Members)
    return MinBatchDelay;
  const Duration Fair = BatchDelayPerReader * static_cast<double>(Readers);
  return std::clamp(Fair, MinBatchDelay, MaxBatchDelay);
}

} // namespace camphorpin
