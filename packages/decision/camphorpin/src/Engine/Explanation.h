#ifndef CAMPHORPIN_SRC_ENGINE_EXPLANATION_H
#define CAMPHORPIN_SRC_ENGINE_EXPLANATION_H

#include "camphorpin/Core.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace camphorpin {

/// \class Explanation
/// \brief What the node would do with a new request of an operation now.
struct Explanation {
  /// The policies know the operation; otherwise the rest is empty.
  bool KnownOperation = false;
  camphorpin::Rank Rank;
  bool Idempotent = false;
  Duration Deadline;
  /// Why the node would refuse the request, or None.
  RefusalReason Refusal = RefusalReason::None;
  /// Present members of the service that take work.
  std::size_t Members = 0;
  /// Epoch of the home set of the service that this node knows; 0 for none.
  std::uint64_t HomeEpoch = 0;
  /// The least urgent rank that the operation accepts as far as known.
  camphorpin::Rank LowestAccepted;
  /// Where an idempotent request would go now.
  std::optional<HostAddress> Target;
};

} // namespace camphorpin

#endif
