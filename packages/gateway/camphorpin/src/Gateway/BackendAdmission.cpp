#include "camphorpin/src/Gateway/BackendAdmission.h"

namespace camphorpin {

namespace {

/// Retry delay of a call refused because its dependencies fail. The limit of a
/// route recovers within a few run durations.
constexpr Duration LimitedRetryAfter = Duration::millis(600);
/// Requests that start on the host per run from which on the runs are assumed
/// to make nested calls. If they make none, a late run has been delayed by this
/// server only, which the queue handles.
constexpr double MinCallsPerRun = 0.8;
/// Minimum number of recent runs to tell whether runs make nested calls.
constexpr double MinRecentRuns = 10;
/// Decay factor of the counts of requests and runs per tick.
constexpr double CountDecay = 0.8;

/// Weight of the latest run in the smoothed failure rate.
constexpr double FailureRateWeight = 0.05;

} // namespace

void BackendAdmission::onNewBackend() {
  FailureRate = 0;
  Queue.resetLimit();
}

AdmissionResult BackendAdmission::offer(const SlotRequest &Request,
                                        Instant Now) {
  AdmissionResult Result;
  if (!Limiter.admit(Request.Route, Request.Rank, Request.Nested))
    return {AdmissionChoice::Refuse, RefusalReason::Shed, LimitedRetryAfter};
  const QueueDecision Decision = Queue.offer(Request, Now);
  Result.Choice = Decision.Choice;
  if (Decision.Choice == AdmissionChoice::Refuse) {
    Limiter.end(Request.Route, RunOutcome::Unknown, Now);
    Result.Reason = RefusalReason::Overloaded;
    Result.RetryAfter = Decision.RetryAfter;
    return Result;
  }
  Calls[Request.Id] = AdmittedCall{Request.Route, Now};
  if (Decision.Choice == AdmissionChoice::Start)
    RecentRuns += 1;
  return Result;
}

std::optional<SlotRequest> BackendAdmission::takeNext(Instant Now) {
  std::optional<SlotRequest> Result = Queue.takeNext(Now);
  if (Result) {
    Calls[Result->Id].Start = Now;
    RecentRuns += 1;
  }
  return Result;
}

std::vector<SlotRequest> BackendAdmission::takeExpired(Instant Now) {
  return Queue.takeExpired(Now);
}

std::vector<SlotRequest> BackendAdmission::takeAll() { return Queue.takeAll(); }

void BackendAdmission::abandon(std::uint64_t Id, Instant Now) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return;
  Queue.remove(Id);
  Queue.finish(Id, Now, DurationMeaning::Nothing);
  Limiter.end(Found->second.Route, RunOutcome::Unknown, Now);
  NestedCalls.onRunEnd(Id);
  Calls.erase(Found);
}

RefusalReason BackendAdmission::end(std::uint64_t Id, const PeerAnswer &Answer,
                                    Instant Now) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return RefusalReason::None;
  const AdmittedCall Run = std::move(Found->second);
  Calls.erase(Found);
  NestedCalls.onRunEnd(Id);
  Queue.finish(Id, Now, meaningOfDuration(Answer));
  const RunOutcome Outcome = outcomeOf(Run, Answer);
  Limiter.end(Run.Route, Outcome, Now);
  const RefusalReason Cause = dependencyFailureReason(Run, Answer, Outcome);
  const double Failure = isBackendFailure(Answer, Cause) ? 1 : 0;
  FailureRate += FailureRateWeight * (Failure - FailureRate);
  return Cause;
}

DurationMeaning
BackendAdmission::meaningOfDuration(const PeerAnswer &Answer) const {
  if (Answer.Outcome != CallOutcome::Answered)
    return DurationMeaning::Nothing;
  return runsMakeCalls() ? DurationMeaning::ServiceTime
                         : DurationMeaning::LocalWork;
}

bool BackendAdmission::isBackendFailure(const PeerAnswer &Answer,
                                        RefusalReason Cause) {
  if (Answer.Outcome == CallOutcome::Answered)
    return Answer.StatusCode == 500 && Cause == RefusalReason::None;
  return Answer.Reason != RefusalReason::Deadline;
}

RunOutcome BackendAdmission::outcomeOf(const AdmittedCall &Run,
                                       const PeerAnswer &Answer) const {
  const bool TimedOut =
      Answer.StatusCode == 504 || Answer.Reason == RefusalReason::Deadline;
  if (TimedOut)
    return runsMakeCalls() ? RunOutcome::DependencyFailed : RunOutcome::Unknown;
  if (Answer.Outcome != CallOutcome::Answered)
    return RunOutcome::Unknown;
  if (Answer.StatusCode == 500)
    return LastOverload >= Run.Start ? RunOutcome::DependencyFailed
                                     : RunOutcome::Unknown;
  return RunOutcome::Succeeded;
}

RefusalReason
BackendAdmission::dependencyFailureReason(const AdmittedCall &Run,
                                          const PeerAnswer &Answer,
                                          RunOutcome Outcome) const {
  if (Answer.Outcome != CallOutcome::Answered)
    return RefusalReason::None;
  if (Outcome == RunOutcome::DependencyFailed)
    return RefusalReason::Shed;
  if (Answer.StatusCode == 500 && LastUnavailable >= Run.Start)
    return RefusalReason::NoBackend;
  return RefusalReason::None;
}

bool BackendAdmission::onOutboundRequest(const std::string &Route,
                                         Instant Deadline) {
  RecentOutbound += 1;
  return NestedCalls.onRequest(Route, Deadline);
}

void BackendAdmission::onOutboundFailure(bool Nested, CallFailure Cause,
                                         Instant Now) {
  const bool RunsCallNothing = RecentRuns >= MinRecentRuns && !runsMakeCalls();
  if (!Nested && (NestedCalls.detectsNestedCalls() || RunsCallNothing))
    return;
  if (Cause == CallFailure::Overload)
    LastOverload = Now;
  if (Cause == CallFailure::Unavailable)
    LastUnavailable = Now;
}

BackendStatus BackendAdmission::status() const {
  BackendStatus Result;
  Result.Running = static_cast<std::uint32_t>(Queue.running());
  Result.Queued = static_cast<std::uint32_t>(Queue.queued());
  Result.Limit = Queue.limit();
  Result.Wait = estimatedWait();
  Result.ServiceTime = Queue.serviceTime();
  Result.FailureRate = FailureRate;
  Result.MakesNestedCalls = runsMakeCalls();
  return Result;
}

bool BackendAdmission::runsMakeCalls() const {
  return RecentOutbound >= MinCallsPerRun * RecentRuns;
}

void BackendAdmission::tick() {
  RecentRuns *= CountDecay;
  RecentOutbound *= CountDecay;
}

} // namespace camphorpin
