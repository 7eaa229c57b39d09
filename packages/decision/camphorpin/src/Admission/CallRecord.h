#ifndef CAMPHORPIN_SRC_ADMISSION_CALLRECORD_H
#define CAMPHORPIN_SRC_ADMISSION_CALLRECORD_H

#include "camphorpin/Core.h"

#include <compare>
#include <cstdint>

namespace camphorpin::detail {

/// \class CreationKey
/// \brief Orders calls by the creation time of the root request, which entered
/// the system at the ingress node; the call id breaks ties.
struct CreationKey {
  Instant Created;
  std::uint64_t Id = 0;

  auto operator<=>(const CreationKey &) const = default;
};

/// \class QueuedCall
/// \brief A waiting call and the number of its caller (see CallerTable).
struct QueuedCall {
  CreationKey Key;
  std::uint16_t CallerNumber = 0;
};

/// \class CallRecord
/// \brief A call that is queued or running.
struct CallRecord {
  CreationKey Key;
  std::uint8_t Rank = 0;
  std::uint8_t OperationBucket = 0;
  std::uint16_t CallerNumber = 0;
  bool Idempotent = false;
  bool Running = false;
  bool CancelSent = false;
  /// Started from the floor of its rank, so it must not be preempted.
  bool Protected = false;
  Instant Deadline;
  /// While queued: the latest start that can still meet the deadline. While
  /// running: the time of the start.
  Instant LatestOrActualStart;
};

} // namespace camphorpin::detail

#endif
