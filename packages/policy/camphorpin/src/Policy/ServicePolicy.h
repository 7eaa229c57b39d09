#ifndef CAMPHORPIN_SRC_POLICY_SERVICEPOLICY_H
#define CAMPHORPIN_SRC_POLICY_SERVICEPOLICY_H

#include "camphorpin/Core.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace camphorpin {

/// \class CallTarget
/// \brief An operation of a service that another operation calls.
struct CallTarget {
  ServiceName Service;
  OperationName Operation;

  auto operator<=>(const CallTarget &) const = default;
};

/// \class OperationPolicy
/// \brief What holds for one operation of a service.
struct OperationPolicy {
  camphorpin::Rank Rank;
  /// The operation may be executed more than once.
  bool Idempotent = false;
  /// Used when the caller states no deadline, and the longest it may state.
  Duration Deadline = Duration::seconds(1);
  std::vector<CallTarget> Calls;
};

/// \class ServicePolicy
/// \brief The document "service/<name>".
struct ServicePolicy {
  ServiceName Service;
  /// Requests that one backend server can run at the same time.
  std::uint32_t Slots = 1;
  /// Connections that one backend server accepts.
  std::uint32_t Connections = 1;
  /// Requests that may wait at one backend server.
  std::uint32_t QueueLimit = 0;
  /// Urgent work may cancel idempotent work of lower ranks.
  bool CancelLowerRanks = false;
  /// Overrides MeshPolicy::LogSilenceBound.
  std::optional<Duration> LogSilenceBound;
  std::map<OperationName, OperationPolicy> Operations;
};

} // namespace camphorpin

#endif
