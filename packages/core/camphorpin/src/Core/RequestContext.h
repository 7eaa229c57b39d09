#ifndef CAMPHORPIN_SRC_CORE_REQUESTCONTEXT_H
#define CAMPHORPIN_SRC_CORE_REQUESTCONTEXT_H

#include "camphorpin/src/Core/Duration.h"
#include "camphorpin/src/Core/Name.h"
#include "camphorpin/src/Core/Rank.h"
#include "camphorpin/src/Core/RequestKey.h"

#include <cstdint>

namespace camphorpin {

/// \class RequestContext
/// \brief What travels with a call from node to node beside its body.
///
/// Times are spans, not instants, because the clocks of hosts do not compare.
struct RequestContext {
  /// Identifies the whole request: the key at the ingress node.
  RequestKey Root;
  /// Identifies this call. It is derived from the parent's key.
  RequestKey Key;
  ServiceName Service;
  OperationName Operation;
  CallerName Caller;
  camphorpin::Rank Rank;
  bool Idempotent = false;
  /// No earlier send of this key can have reached another node. Only then may
  /// a node that is not the home of the key say "not run".
  bool FirstSend = false;
  /// Time since the whole request arrived at its ingress node.
  Duration Age;
  /// Time that is left until the deadline of the call.
  Duration Remaining;
  /// Number of hops that the request may still travel.
  std::uint8_t HopsLeft = 0;
  /// Extra attempts lent to the callee (see Retry.h).
  std::uint8_t ExtraAttempts = 0;
  /// Number of crashes at which a request with this fingerprint was running.
  std::uint8_t CrashCount = 0;
  /// Epoch of the home set by which the sender chose the home of the key; 0 for
  /// an idempotent call.
  std::uint64_t HomeEpoch = 0;
  /// Hash of service, operation, caller and body.
  std::uint64_t Fingerprint = 0;
};

} // namespace camphorpin

#endif
