#ifndef CAMPHORPIN_SRC_GATEWAY_STOREREADPACING_H
#define CAMPHORPIN_SRC_GATEWAY_STOREREADPACING_H

#include "camphorpin/Core.h"
#include "camphorpin/src/Gateway/PlatformProtocol.h"

#include <cstddef>

namespace camphorpin {

/// \class StoreReadPacing
/// \brief Decides how often a node reads the platform's store.
///
/// Keeps the fleet within the store's rate limit: every reader reads every
/// change, so the more readers there are, the less often each one reads.
class StoreReadPacing {
public:
  /// Maximum time for an answer in addition to the time for which the store may
  /// hold a read open.
  static constexpr Duration ResponseTimeout = Duration::millis(1500);

  /// \param Readers the number of nodes that read the store.
  /// \returns how long the store may hold a long poll of \p Feed open.
  static Duration longPollTimeout(StoreFeed Feed, std::size_t Readers,
                                  Random &RandomSource);

  /// \returns the delay before the next read after records have been received,
  /// so that a burst of changes is read with a few calls. The records already
  /// received are not delayed.
  static Duration batchDelay(StoreFeed Feed, std::size_t Readers);

  /// \param DesignatedReader no other node reads the store for this one.
  /// \param Failures the number of consecutive failed reads.
  /// \returns the delay before a failed read is retried.
  static Duration retryBackoff(bool DesignatedReader, unsigned Failures,
                               Random &RandomSource);
};

} // namespace camphorpin

#endif
