#ifndef CAMPHORPIN_SRC_POLICY_SERVICEPOLICY_H
#define CAMPHORPIN_SRC_POLICY_SERVICEPOLICY_H

#include "camphorpin/Core.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace camphorpin {

/// \class CallTarget
/// \brief The target of a call: an operation of a service.
struct CallTarget {
  ServiceName Service;
  OperationName Operation;

  auto operator<=>(const CallTarget &) const = default;
};

/// \class OperationPolicy
/// \brief The settings of one operation of a service.
struct OperationPolicy {
  camphorpin::Rank Rank;
  /// The operation may be executed more than once.
  bool Idempotent = false;
  /// Default and maximum of the deadline that a caller may set.
  Duration Deadline = Duration::seconds(1);
  std::vector<CallTarget> Calls;
};

/// \class ServicePolicy
/// \brief The document "service/<name>": the settings of one service.
struct ServicePolicy {
  ServiceName Service;
  /// Number of requests that one backend server can run concurrently.
  std::uint32_t Slots = 1;
  /// Number of connections that one backend server accepts.
  std::uint32_t Connections = 1;
  /// Number of requests that may be queued for one backend server.
  std::uint32_t QueueLimit = 0;
  /// Requests may cancel running idempotent requests of less urgent ranks.
  bool CancelLowerRanks = false;
  /// Overrides MeshPolicy::LogSilenceBound.
  std::optional<Duration> LogSilenceBound;
  std::map<OperationName, OperationPolicy> Operations;
};

} // namespace camphorpin

#endif
