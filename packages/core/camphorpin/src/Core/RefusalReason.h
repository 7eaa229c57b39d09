#ifndef CAMPHORPIN_SRC_CORE_REFUSALREASON_H
#define CAMPHORPIN_SRC_CORE_REFUSALREASON_H

#include <cstdint>
#include <optional>
#include <string_view>

namespace camphorpin {

/// \brief The reason why a request got no answer from a backend server.
///
/// Nodes send each other the numeric values: new ones are appended, and
/// reasonFromCode() names the last one.
enum class RefusalReason : std::uint8_t {
  /// The request was not refused.
  None,
  /// The request is malformed or names an unknown service or operation.
  BadRequest,
  /// The operation needs an idempotency key, or the key is not a UUIDv7.
  KeyRequired,
  /// The queue is full, or the cap of the rank or the share of the caller is
  /// exhausted.
  Overloaded,
  /// The called service currently sheds load of this rank.
  Shed,
  /// The deadline has passed or cannot be met.
  Deadline,
  /// The call chain has more hops than the policy allows.
  TooDeep,
  /// No backend server of the service is known or reachable.
  NoBackend,
  /// The node or its backend server is shutting down.
  Draining,
  /// The backend server refused the request without running it.
  BackendShed,
  /// The backend server or the connection to it failed.
  BackendFailed,
  /// The connection to the other node failed or timed out.
  PeerFailed,
  /// The home of the key, which is the node that stores its state and decides
  /// whether its request may run, is changing, or that state is not known yet.
  HomeChanging,
  /// The node has not read the platform's append-only log recently enough to
  /// run non-idempotent requests.
  LogSilent,
  /// A request with this key has run, and its answer is no longer stored.
  AnswerExpired,
  /// The key is older than the key retention period.
  KeyExpired,
  /// Backend servers crashed repeatedly while this request was running.
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
