#include "camphorpin/src/Gateway/AttemptPolicy.h"

namespace camphorpin {

namespace {

/// Gates that are asked for one request. Each refusal costs a round trip.
constexpr std::uint32_t MaxRefusals = 3;
/// Part of the latency objective after which no other gate is asked: the caller
/// can use the rest for its own retry. A run does not retry its calls, and a
/// refused call wastes the run.
constexpr double MaxRerouteFraction = 0.35;
/// Below this remaining time a repeated send would only waste work.
constexpr Duration MinTimeForRetry = Duration::millis(30);

/// Part of the route's usual service time that must be left for a repeated
/// send. Another backend server may be faster than the one that told the time.
constexpr double MinServiceTimeFraction = 0.5;

bool hasTimeForRun(const RequestProgress &Progress, const PeerAnswer &Answer) {
  return Progress.TimeLeft > MinTimeForRetry &&
         Progress.TimeLeft > Answer.RouteTime * MinServiceTimeFraction;
}

/// A failure that another backend server may not have. 504 means that the
/// deadline has passed; with a reason, a service that the run called has
/// failed.
bool isRetryable(const PeerAnswer &Answer) {
  if (Answer.Reason != RefusalReason::None)
    return false;
  return Answer.StatusCode == 500 || Answer.StatusCode == 502;
}

} // namespace

NextStep AttemptPolicy::next(const RequestProgress &Progress,
                             const PeerAnswer &Answer) {
  const bool CanRetry = Progress.BackendSends < Progress.MaxAttempts &&
                        hasTimeForRun(Progress, Answer);
  switch (Answer.Outcome) {
  case CallOutcome::Answered:
    if (Progress.Idempotent && CanRetry && isRetryable(Answer))
      return NextStep::Retry;
    return NextStep::Deliver;
  case CallOutcome::Refused:
    if (Progress.Refusals < MaxRefusals &&
        Progress.TimeLeft > MinTimeForRetry &&
        (Progress.Nested ||
         Progress.Elapsed < Progress.Objective * MaxRerouteFraction))
      return NextStep::TryAnotherNode;
    return NextStep::RefuseNotRun;
  case CallOutcome::Shed:
    return CanRetry ? NextStep::Retry : NextStep::RefuseNotRun;
  case CallOutcome::Failed:
    if (Progress.Idempotent && CanRetry)
      return NextStep::Retry;
    return NextStep::FailMayHaveRun;
  }
  return NextStep::FailMayHaveRun;
}

NextStep AttemptPolicy::withoutBudget(const PeerAnswer &Answer) {
  switch (Answer.verdict()) {
  case Verdict::Ran:
    return NextStep::Deliver;
  case Verdict::NotRun:
    return NextStep::RefuseNotRun;
  case Verdict::MayHaveRun:
    break;
  }
  return NextStep::FailMayHaveRun;
}

} // namespace camphorpin
