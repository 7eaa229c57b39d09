#ifndef CAMPHORPIN_SRC_CORE_REFUSALREASON_H
#define CAMPHORPIN_SRC_CORE_REFUSALREASON_H

#include <cstdint>
#include <optional>
#include <string_view>

namespace camphorpin {

/// \brief Why a request got no answer from a backend server.
enum class RefusalReason : std::uint8_t {
  None,
  /// The request is malformed or names an unknown service or operation.
  BadRequest,
  /// The operation needs an idempotency key, or the key is not a UUIDv7.
  KeyRequired,
  /// The queue, a rank's cap or a caller's share is exhausted.
  Overloaded,
  /// The rank is below the shedding level of the called service.
  Shed,
  /// The deadline has passed or cannot be met.
  Deadline,
  /// The request travelled further than the policy allows.
  TooDeep,
  /// No backend server of the service is known or reachable.
  NoBackend,
  /// The node or its backend server is leaving.
  Draining,
  /// The backend server refused the request without running it.
  BackendShed,
  /// The backend server or the connection to it failed.
  BackendFailed,
  /// The connection to the other node failed or went silent.
  PeerFailed,
  /// The key's home is changing, or its state is not known yet.
  HomeChanging,
  /// The node's reading of the log is too old to run non-idempotent work.
  LogSilent,
  /// The key ran before and its answer is no longer kept.
  AnswerExpired,
  /// The key is older than the retention of keys.
  KeyExpired,
  /// The request was running at repeated crashes of backend servers.
  CrashSuspect,
  /// The request was cancelled.
  Cancelled,
  /// An internal queue of the node is full.
  NodeBusy,
};

/// \returns the name used in HTTP headers and metrics, for example "shed".
std::string_view toString(RefusalReason Value);

/// \returns the reason with this name, or nothing.
std::optional<RefusalReason> parseRefusalReason(std::string_view Text);

} // namespace camphorpin

#endif
