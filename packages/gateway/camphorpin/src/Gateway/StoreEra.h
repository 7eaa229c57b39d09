#ifndef CAMPHORPIN_SRC_GATEWAY_STOREERA_H
#define CAMPHORPIN_SRC_GATEWAY_STOREERA_H

#include "camphorpin/Core.h"

#include <cstdint>
#include <optional>

namespace camphorpin {

/// \class StoreEra
/// \brief The era of the platform's store, as far as this node knows it.
///
/// The era rises each time the store has been restored from an older copy and
/// has lost its latest records. Only answers of the store are believed. A node
/// that doesn't read the store hears of a new era from its peers and then asks
/// the store.
class StoreEra {
public:
  /// An answer of the store comes from era \p Era.
  /// \returns true if this is a later era than any before.
  bool onAnswer(std::uint64_t Era);

  /// A peer has announced \p Era.
  /// \returns true if this node should ask the store for its era now.
  bool onAnnouncement(std::uint64_t Era, Instant Now);

  /// \returns the latest era of which the store has answered; 0 if none.
  std::uint64_t latest() const { return Latest; }

private:
  std::uint64_t Latest = 0;
  /// When the store was last asked because of an announcement.
  std::optional<Instant> LastAsked;
};

} // namespace camphorpin

#endif
