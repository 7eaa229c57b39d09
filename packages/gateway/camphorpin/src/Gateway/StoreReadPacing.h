#ifndef CAMPHORPIN_SRC_GATEWAY_STOREREADPACING_H
#define CAMPHORPIN_SRC_GATEWAY_STOREREADPACING_H

#include "camphorpin/Core.h"
#include "camphorpin/src/Gateway/PlatformProtocol.h"

#include <cstddef>

namespace camphorpin {

/// \class StoreReadPacing
/// \brief Decides how often a node reads the platform's store.
///
/// Answers the load of a fleet that shares the store's rate of calls: each node
/// that reads the store reads every change, so each reads less often the more
/// of them there are.
class StoreReadPacing {
public:
  /// \param Readers the number of nodes that read the store.
  /// \returns how long the store may hold a read of \p Feed open.
  static Duration longPollTimeout(StoreFeed Feed, std::size_t Readers,
                                  Random &Source);

  /// \returns the pause after records have come, so that a burst of changes is
  /// read with a few calls. It delays only what follows a change.
  static Duration batchDelay(StoreFeed Feed, std::size_t Readers);

  /// \param DesignatedReader nobody else reads the store for this node.
  /// \param Failures the reads that have failed since one succeeded.
  /// \returns the pause before a failed read is repeated.
  static Duration retryBackoff(bool DesignatedReader, unsigned Failures,
                               Random &Source);
};

} // namespace camphorpin

#endif
