#include "camphorpin/src/Retry/RetryPolicy.h"

namespace camphorpin {

namespace {

/// \returns true if the refusal would be the same at any node.
bool isPermanent(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::BadRequest:
  case RefusalReason::KeyRequired:
  case RefusalReason::Deadline:
  case RefusalReason::TooDeep:
  case RefusalReason::AnswerExpired:
  case RefusalReason::KeyExpired:
  case RefusalReason::CrashSuspect:
  case RefusalReason::Cancelled:
    return true;
  default:
    return false;
  }
}

} // namespace

RetryDecision RetryPolicy::decide(const AttemptFailure &Failure,
                                  AttemptBudget &Budget,
                                  RetryThrottle &Throttle) {
  if (!Failure.Direct)
    return RetryDecision::NotDirect;
  if (Failure.Verdict == Verdict::Ran)
    return RetryDecision::Unsafe;
  if (Failure.Verdict != Verdict::NotRun && !Failure.Idempotent)
    return RetryDecision::Unsafe;
  if (isPermanent(Failure.Reason))
    return RetryDecision::NotRetryable;
  if (Failure.Remaining <= Failure.ExpectedDuration)
    return RetryDecision::DeadlineTooClose;
  if (Budget.available() == 0)
    return RetryDecision::BudgetExhausted;
  if (!Throttle.tryAcquire())
    return RetryDecision::RatioExceeded;
  Budget.consume();
  return RetryDecision::Retry;
}

} // namespace camphorpin
