#ifndef CAMPHORPIN_SRC_CORE_REQUESTCONTEXT_H
#define CAMPHORPIN_SRC_CORE_REQUESTCONTEXT_H

#include "camphorpin/src/Core/Duration.h"
#include "camphorpin/src/Core/Name.h"
#include "camphorpin/src/Core/Rank.h"
#include "camphorpin/src/Core/RequestKey.h"

#include <cstdint>

namespace camphorpin {

/// \class RequestContext
/// \brief The metadata that nodes forward with a call, beside its body.
///
/// Times are durations, not instants, because the clocks of hosts are not
/// synchronized.
struct RequestContext {
  /// Identifies the end-to-end request: the key at the ingress node.
  RequestKey Root;
  /// Identifies this call. It is derived from the key of the parent call.
  RequestKey Key;
  ServiceName Service;
  OperationName Operation;
  CallerName Caller;
  camphorpin::Rank Rank;
  bool Idempotent = false;
  /// True if no earlier attempt with this key can have reached another node. If
  /// false, only the home of the key may answer "not-run".
  bool FirstSend = false;
  /// Time since the end-to-end request arrived at its ingress node.
  Duration Age;
  /// Time left until the deadline of the call.
  Duration Remaining;
  /// Number of further hops that the request may take.
  std::uint8_t HopsLeft = 0;
  /// Extra attempts that the sender allocated to the callee (see
  /// AttemptBudget).
  std::uint8_t ExtraAttempts = 0;
  /// Number of backend server crashes during which a request with this
  /// fingerprint was running.
  std::uint8_t CrashCount = 0;
  /// Epoch of the set of nodes from which the sender selected the home of the
  /// key; 0 for an idempotent call.
  std::uint64_t HomeEpoch = 0;
  /// Hash of service, operation, caller and body.
  std::uint64_t Fingerprint = 0;
};

} // namespace camphorpin

#endif
