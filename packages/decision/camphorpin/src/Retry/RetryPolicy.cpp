#include "camphorpin/src/Retry/RetryPolicy.h"

namespace camphorpin {

namespace {

/// \returns true if the refusal would be the same at any node.
bool holdsEverywhere(RefusalReason Reason) {
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

RetryChoice RetryPolicy::decide(const AttemptFailure &Failure,
                                AttemptBudget &Budget, RetryRatio &Ratio) {
  if (!Failure.Direct)
    return RetryChoice::NotDirect;
  if (Failure.Verdict == Verdict::Ran)
    return RetryChoice::Unsafe;
  if (Failure.Verdict != Verdict::NotRun && !Failure.Idempotent)
    return RetryChoice::Unsafe;
  if (holdsEverywhere(Failure.Reason))
    return RetryChoice::Useless;
  if (Failure.Remaining <= Failure.ExpectedDuration)
    return RetryChoice::NoTime;
  if (Budget.available() == 0)
    return RetryChoice::NoBudget;
  if (!Ratio.takeRetry())
    return RetryChoice::NoRatio;
  Budget.spend();
  return RetryChoice::Retry;
}

} // namespace camphorpin
