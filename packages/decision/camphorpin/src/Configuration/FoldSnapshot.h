#ifndef CAMPHORPIN_SRC_CONFIGURATION_FOLDSNAPSHOT_H
#define CAMPHORPIN_SRC_CONFIGURATION_FOLDSNAPSHOT_H

#include "camphorpin/src/Configuration/ConfigurationDocument.h"

#include <cstdint>
#include <vector>

namespace camphorpin {

/// \class FoldSnapshot
/// \brief The complete state of a fold, for the transfer to a joining node.
struct FoldSnapshot {
  /// The state includes exactly the records before this offset.
  std::uint64_t NextOffset = 0;
  /// Digest of the documents.
  std::uint64_t Digest = 0;
  std::vector<ConfigurationDocument> Documents;

  auto operator<=>(const FoldSnapshot &) const = default;
};

} // namespace camphorpin

#endif
