#ifndef CAMPHORPIN_SRC_GATEWAY_STOREREADPACING_H
#define CAMPHORPIN_SRC_GATEWAY_STOREREADPACING_H

#include "camphorpin/Core.h"
#include "camphorpin/src/Gateway/PlatformProtocol.h"

#include <cstddef>

namespace camphorpin {

/// \class ReaderRole
/// \brief The part of a node in reading the platform's store.
struct ReaderRole {
  /// Number of reachable nodes that read the store in normal operation.
  std::size_t Readers = 1;
  /// Position of this node among them, less than Readers.
  std::size_t Position = 0;
  /// No other node reads the store for this one.
  bool Designated = true;
};

/// \class StoreReadPacing
/// \brief Decides how long the reads of one feed of the platform's store last
/// and when they are sent.
///
/// Keeps the fleet within the store's rate limit: every reader reads every
/// change, so the more readers there are, the less often each one reads. Limits
/// the time for which the fleet does not notice that the store, after an outage
/// or the loss of connections, would answer a new read.
class StoreReadPacing {
public:
  /// Maximum time for an answer in addition to the time for which the store may
  /// hold a read open.
  static constexpr Duration ResponseTimeout = Duration::millis(1500);

  StoreReadPacing(StoreFeed Feed, Random &RandomSource)
      : Feed(Feed), RandomSource(RandomSource) {}

  /// \returns how long the store may hold the next read open. 0 after a failed
  /// read: if it is not answered either, it should not delay the next one.
  /// \param WallNow the wall-clock time. The reads of the readers end one after
  /// the other, each in its own part of a period that begins at the same time
  /// on all hosts. A clock that is wrong only moves the reads of its host.
  Duration longPollTimeout(const ReaderRole &Role, Instant WallNow) const;

  /// The store has answered a read.
  void onAnswer() { Failures = 0; }

  /// A read has failed.
  /// \param Elapsed the time since the read was sent.
  /// \returns the delay before it is retried.
  Duration onFailure(const ReaderRole &Role, Duration Elapsed);

  /// \returns the number of consecutive failed reads.
  unsigned failures() const { return Failures; }

  /// \returns the delay before the next read after records have been received,
  /// so that a burst of changes is read with a few calls. The records already
  /// received are not delayed.
  Duration batchDelay(const ReaderRole &Role) const;

private:
  StoreFeed Feed;
  Random &RandomSource;
  unsigned Failures = 0;
};

} // namespace camphorpin

#endif
