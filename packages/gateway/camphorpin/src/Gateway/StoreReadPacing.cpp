#include "camphorpin/src/Gateway/StoreReadPacing.h"

#include <algorithm>
#include <cassert>

namespace camphorpin {

namespace {

/// How long the store holds a read of a feed open at most. Each costs a call.
constexpr Duration MaxLongPoll = Duration::seconds(25);
/// A read may go silent without an error, and only its end shows it. In the
/// whole fleet a read of the configuration ends every second, so that one node
/// soon finds out what it has missed and tells the others.
constexpr Duration LongPollPerReader = Duration::seconds(1);
constexpr Duration MinLongPoll = Duration::seconds(4);
/// Random part of a read, because reads that began together must not end
/// together.
constexpr double LongPollJitter = 0.3;
/// Much less than the time in which a change of the configuration must be in
/// force.
constexpr Duration MinBatchDelay = Duration::millis(400);
/// A restart of a fleet changes a record of every node. While hosts come and
/// go, their links tell whether they answer, so a record may come later.
constexpr Duration BatchDelayPerReader = Duration::millis(20);
constexpr Duration MaxBatchDelay = Duration::seconds(2);
/// First and longest pause before a failed read is repeated.
struct BackoffRange {
  Duration First;
  Duration Longest;
};
/// Others wait for a node that leads, so it finds the store back soon. Those
/// who follow it are told, so they try for themselves less often.
constexpr BackoffRange DesignatedReaderBackoff = {Duration::millis(150),
                                                  Duration::millis(1200)};
constexpr BackoffRange FollowerBackoff = {Duration::seconds(2),
                                          Duration::seconds(4)};
/// Doublings of the first pause.
constexpr unsigned MaxDoublings = 4;

} // namespace

Duration StoreReadPacing::longPollTimeout(StoreFeed Feed, std::size_t Readers,
                                          Random &Source) {
  if (Feed != StoreFeed::Configuration)
    return MaxLongPoll;
  const Duration Fair = LongPollPerReader * static_cast<double>(Readers);
  const Duration Bounded = std::clamp(Fair, MinLongPoll, MaxLongPoll);
  return Bounded * (1 - LongPollJitter * Source.unit());
}

Duration StoreReadPacing::retryBackoff(bool DesignatedReader, unsigned Failures,
                                       Random &Source) {
  assert(Failures > 0 && "a read has failed");
  const BackoffRange &Pauses =
      DesignatedReader ? DesignatedReaderBackoff : FollowerBackoff;
  const unsigned Doublings = std::min(Failures - 1, MaxDoublings);
  const Duration Pause = std::min(
      Pauses.Longest, Pauses.First * static_cast<double>(1U << Doublings));
  return Pause * (0.5 + Source.unit());
}

Duration StoreReadPacing::batchDelay(StoreFeed Feed, std::size_t Readers) {
  if (Feed != StoreFeed::Members)
    return MinBatchDelay;
  const Duration Fair = BatchDelayPerReader * static_cast<double>(Readers);
  return std::clamp(Fair, MinBatchDelay, MaxBatchDelay);
}

} // namespace camphorpin
