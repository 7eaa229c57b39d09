#ifndef CAMPHORPIN_SRC_GATEWAY_ATTEMPTPOLICY_H
#define CAMPHORPIN_SRC_GATEWAY_ATTEMPTPOLICY_H

#include "camphorpin/Core.h"
#include "camphorpin/src/Gateway/PeerMessages.h"

#include <cstdint>

namespace camphorpin {

/// \class RequestProgress
/// \brief State of a request after an attempt: past attempts and remaining
/// time.
struct RequestProgress {
  bool Idempotent = false;
  /// The request is a nested call; a running request waits for it.
  bool Nested = false;
  std::uint32_t MaxAttempts = 1;
  /// Attempts that reached a backend server, including the latest one.
  std::uint32_t BackendSends = 0;
  /// Nodes that refused the request.
  std::uint32_t Refusals = 0;
  Duration Elapsed;
  Duration TimeLeft;
  Duration Objective;
};

/// \brief Next action after an attempt has ended.
enum class NextStep : std::uint8_t {
  /// Return the backend server's answer to the caller.
  Deliver,
  /// Try another node; the request has not reached a backend server.
  TryAnotherNode,
  /// Retry, if the retry budget allows it.
  Retry,
  /// Report to the caller that the request was not executed.
  RefuseNotRun,
  /// Report to the caller that the request may have been executed.
  FailMayHaveRun,
};

/// \class AttemptPolicy
/// \brief Decides whether a request is retried, rerouted or answered after an
/// attempt.
class AttemptPolicy {
public:
  static NextStep next(const RequestProgress &Progress,
                       const PeerAnswer &Answer);

  /// \returns the next step when the retry budget is exhausted.
  static NextStep withoutBudget(const PeerAnswer &Answer);
};

} // namespace camphorpin

#endif
