#ifndef CAMPHORPIN_SRC_ENGINE_EXPLANATION_H
#define CAMPHORPIN_SRC_ENGINE_EXPLANATION_H

#include "camphorpin/Core.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace camphorpin {

/// \class Explanation
/// \brief How this node would currently handle a new request of an operation.
struct Explanation {
  /// The policies define the operation. If not, the other fields are unset.
  bool KnownOperation = false;
  camphorpin::Rank Rank;
  bool Idempotent = false;
  Duration Deadline;
  /// Why the node would refuse the request, or None.
  RefusalReason Refusal = RefusalReason::None;
  /// Number of members of the service that accept work.
  std::size_t Members = 0;
  /// Epoch of the known home set of the service, or 0.
  std::uint64_t HomeEpoch = 0;
  /// The least urgent rank that the operation is known to accept.
  camphorpin::Rank LowestAccepted;
  /// The node to which an idempotent request would be sent.
  std::optional<HostAddress> Target;
};

} // namespace camphorpin

#endif
