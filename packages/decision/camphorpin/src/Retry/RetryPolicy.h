#ifndef CAMPHORPIN_SRC_RETRY_RETRYPOLICY_H
#define CAMPHORPIN_SRC_RETRY_RETRYPOLICY_H

#include "camphorpin/Core.h"
#include "camphorpin/src/Retry/AttemptBudget.h"
#include "camphorpin/src/Retry/RetryThrottle.h"

#include <cstdint>

namespace camphorpin {

/// \class AttemptFailure
/// \brief A failed attempt: the call got no answer from the backend server.
struct AttemptFailure {
  camphorpin::Verdict Verdict = camphorpin::Verdict::MayHaveRun;
  RefusalReason Reason = RefusalReason::None;
  bool Idempotent = false;
  /// The called node or its backend server failed or refused, not a call
  /// further down that was already retried by the hop above it.
  bool Direct = false;
  /// Time left until the deadline of the call.
  Duration Remaining;
  /// Smoothed duration of calls on this edge.
  Duration ExpectedDuration;
};

/// \brief Whether to repeat an attempt, and if not, why.
enum class RetryDecision : std::uint8_t {
  Retry,
  /// The failure is deeper in the call graph; the hop above it retries.
  NotDirect,
  /// The work may have run and must not run twice.
  Unsafe,
  /// Another attempt would meet the same refusal.
  NotRetryable,
  /// The deadline would pass before an answer.
  DeadlineTooClose,
  /// The request has no extra attempt left.
  BudgetExhausted,
  /// The edge has exhausted its share of retries.
  RatioExceeded,
};

/// \class RetryPolicy
/// \brief Decides about a retry of one call.
class RetryPolicy {
public:
  /// Decides, and on RetryDecision::Retry consumes one extra attempt of
  /// \p Budget and one retry of \p Throttle.
  static RetryDecision decide(const AttemptFailure &Failure,
                              AttemptBudget &Budget, RetryThrottle &Throttle);
};

} // namespace camphorpin

#endif
