#include "camphorpin/src/Gateway/AttemptPolicy.h"

namespace camphorpin {

namespace {

/// Maximum number of nodes that may refuse a request before it is refused to
/// the caller. Each refusal costs a round trip.
constexpr std::uint32_t MaxRefusals = 3;
/// Fraction of the latency objective after which no other node is tried,
/// because the caller needs the rest for its own retry. Does not apply to
/// nested calls: a running request does not retry its calls, and a refused call
/// wastes the work done so far.
constexpr double MaxRerouteFraction = 0.35;
/// With less time left, a retry would only waste work.
constexpr Duration MinTimeForRetry = Duration::millis(30);

/// Fraction of the route's mean service time that must be left for a retry. It
/// is below 1 because another backend server may be faster than the one that
/// reported the service time.
constexpr double MinServiceTimeFraction = 0.5;

bool hasTimeForRun(const RequestProgress &Progress, const PeerAnswer &Answer) {
  return Progress.TimeLeft > MinTimeForRetry &&
         Progress.TimeLeft > Answer.RouteTime * MinServiceTimeFraction;
}

/// \returns true if the failure may not occur on another backend server. Status
/// 504 means that the deadline has passed; an answer with a reason means that a
/// service called by the request has failed.
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
