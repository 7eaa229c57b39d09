#include "camphorpin/src/Gateway/StoreReadPacing.h"

#include <algorithm>
#include <cassert>

namespace camphorpin {

namespace {

/// Maximum time for which the store holds a long poll open. Each poll costs a
/// call.
constexpr Duration MaxLongPoll = Duration::seconds(25);
/// A long poll may stall without an error, which is noticed only when it should
/// have ended. In the whole fleet one long poll of the configuration ends each
/// time this span has passed, so that some node soon detects a missed change
/// and notifies the others.
constexpr Duration LongPollSpacing = Duration::millis(700);
/// Much shorter than the time within which a change of the configuration must
/// be applied.
constexpr Duration MinBatchDelay = Duration::millis(400);
/// The restart of a fleet changes the record of every node. While hosts come
/// and go, the connections to them show whether they answer, so their records
/// may arrive later.
constexpr Duration BatchDelayPerReader = Duration::millis(20);
constexpr Duration MaxBatchDelay = Duration::seconds(2);
/// First and maximum time between the start of a failed read and its retry.
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
/// Delay before the retry of a read that took longer than the backoff.
constexpr Duration MinRetryDelay = Duration::millis(50);

} // namespace

Duration StoreReadPacing::longPollTimeout(const ReaderRole &Role,
                                          Instant WallNow) const {
  assert(Role.Position < Role.Readers && "a position among the readers");
  if (Failures > 0)
    return {};
  if (Feed != StoreFeed::Configuration)
    return MaxLongPoll;
  const double Readers = static_cast<double>(Role.Readers);
  const Duration Period = std::min(MaxLongPoll, LongPollSpacing * Readers);
  const Duration Part = Period / static_cast<std::int64_t>(Role.Readers);
  const Duration Elapsed =
      Duration::ticks(WallNow.sinceOrigin().ticks() % Period.ticks());
  const Duration Wait = Part * static_cast<double>(Role.Position + 1) - Elapsed;
  // An answer that comes a little early does not cause another read at once.
  return std::min(MaxLongPoll, Wait < Part / 2 ? Wait + Period : Wait);
}

Duration StoreReadPacing::onFailure(const ReaderRole &Role, Duration Elapsed) {
  const BackoffRange &Range =
      Role.Designated ? DesignatedReaderBackoff : FollowerBackoff;
  const unsigned Doublings = std::min(Failures, MaxDoublings);
  ++Failures;
  const Duration Backoff = std::min(
      Range.Longest, Range.First * static_cast<double>(1U << Doublings));
  const Duration Jittered = Backoff * (0.5 + RandomSource.uniform01());
  return std::max(MinRetryDelay, Jittered - Elapsed);
}

Duration StoreReadPacing::batchDelay(const ReaderRole &Role) const {
  if (Feed != StoreFeed::Members)
    return MinBatchDelay;
  const Duration Fair = BatchDelayPerReader * static_cast<double>(Role.Readers);
  return std::clamp(Fair, MinBatchDelay, MaxBatchDelay);
}

} // namespace camphorpin
