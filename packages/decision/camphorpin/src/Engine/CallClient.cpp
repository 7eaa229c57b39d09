#include "camphorpin/src/Engine/CallClient.h"

#include "camphorpin/src/Engine/Refusal.h"

#include <algorithm>
#include <utility>

namespace camphorpin::detail {

namespace {

/// Base of the exponential backoff before a request with a key is resent to a
/// home that is unreachable or changing. Without backoff the extra attempts are
/// used up within milliseconds, long before another home can take over.
constexpr Duration HomeBackoffBase = Duration::millis(50);
constexpr std::uint32_t MaxBackoffDoublings = 5;

/// \returns what the result of a call says about the called node.
PeerCallOutcome peerCallOutcome(const CallResult &Result) {
  if (Result.Verdict == Verdict::Ran)
    return PeerCallOutcome::Answered;
  const bool IsFault = Result.Reason == RefusalReason::PeerFailed ||
                       Result.Reason == RefusalReason::BackendFailed ||
                       Result.Reason == RefusalReason::Deadline;
  return IsFault ? PeerCallOutcome::Failed : PeerCallOutcome::Refused;
}

bool isCapacityRefusal(RefusalReason Reason) {
  return Reason == RefusalReason::Overloaded || Reason == RefusalReason::Shed ||
         Reason == RefusalReason::BackendShed ||
         Reason == RefusalReason::NodeBusy;
}

/// \returns true if the failure needs time to clear, so that an immediate
/// attempt would fail again. Applies only to non-idempotent requests, which
/// must go to the home of their key. Idempotent requests are retried on another
/// node at once.
bool needsBackoff(const RequestContext &Context, RefusalReason Reason) {
  return !Context.Idempotent && (Reason == RefusalReason::HomeChanging ||
                                 Reason == RefusalReason::PeerFailed ||
                                 Reason == RefusalReason::NoBackend ||
                                 Reason == RefusalReason::Draining);
}

/// \returns the verdict of a failed call. If the call reached no other node,
/// the verdict is that of this node, which does not know whether an earlier
/// send of the key ran.
Verdict verdictOf(const RequestContext &Context, const CallResult &Result) {
  const bool ReachedNoNode = Result.Reason == RefusalReason::PeerFailed ||
                             Result.Reason == RefusalReason::NodeBusy;
  if (Result.Verdict == Verdict::NotRun && ReachedNoNode)
    return refusal(Context, Result.Reason).Verdict;
  return Result.Verdict;
}

/// \returns true if this attempt may have run. A node that refuses for one of
/// the reasons below has not run it, although an earlier send of the key may
/// have run. A further attempt is safe, because claims let a key run only once.
bool mayHaveRun(const CallResult &Result) {
  return Result.Verdict == Verdict::MayHaveRun &&
         Result.Reason != RefusalReason::HomeChanging &&
         Result.Reason != RefusalReason::Draining &&
         Result.Reason != RefusalReason::NodeBusy;
}

CallTarget targetOf(const RequestContext &Context) {
  return {Context.Service, Context.Operation};
}

} // namespace

void CallClient::adopt(const ServiceName &Service, const HomeSet &Set) {
  HomeSet &Known = Homes[Service];
  if (Set.epoch() > Known.epoch())
    Known = Set;
}

void CallClient::start(RequestId Id, const RequestContext &Context,
                       const RequestOrigin &Origin, Instant Now) {
  Request Pending{.Context = Context,
                  .Origin = Origin,
                  .Arrived = Now,
                  .Deadline = Now + Context.Remaining,
                  .Budget = AttemptBudget(Context.ExtraAttempts)};
  Pending.Context.CrashCount =
      std::max(Context.CrashCount, Guard.crashCount(Context.Fingerprint, Now));
  Deadlines.add(Pending.Deadline, Id);
  const RequestIterator Entry = Requests.emplace(Id, std::move(Pending)).first;
  if (Guard.mustRefuse(Context.Fingerprint, Now)) {
    answerAndErase(Entry, refusal(Context, RefusalReason::CrashSuspect));
    return;
  }
  if (Origin.MayBeResent) {
    const CoalesceDecision Choice = Coalescer.add(
        Context.Caller, Context.Key, static_cast<std::uint64_t>(Id));
    if (Choice == CoalesceDecision::Full) {
      Entry->second.Origin.MayBeResent = false;
      answerAndErase(Entry, refusal(Context, RefusalReason::NodeBusy));
      return;
    }
    if (Choice == CoalesceDecision::Joined) {
      Entry->second.Joined = true;
      return;
    }
  }
  retryThrottle(Context.Service).onFirstAttempt();
  attempt(Entry, Now);
}

std::optional<ProcessId> CallClient::chooseTarget(Request &Pending,
                                                  Instant Now) {
  if (Pending.Context.Idempotent)
    return Peers.pick(Pending.Context.Service, Pending.Excluded, Now);
  const auto Known = Homes.find(Pending.Context.Service);
  if (Known == Homes.end())
    return std::nullopt;
  const HomeAssignment *Home = Known->second.homeOf(Pending.Context.Key);
  Pending.Context.HomeEpoch = Known->second.epoch();
  return Home != nullptr ? std::optional<ProcessId>(Home->Process)
                         : std::nullopt;
}

void CallClient::attempt(RequestIterator Entry, Instant Now) {
  Request &Pending = Entry->second;
  const RequestContext &Context = Pending.Context;
  if (!Shedder.admit(targetOf(Context), Context.Rank, Context.Caller.view(),
                     Now)) {
    Answer Refused = refusal(Context, RefusalReason::Shed);
    Refused.LowestAccepted = Shedder.level(targetOf(Context), Now);
    Refused.DownstreamRefused = true;
    finish(Entry, Refused);
    return;
  }
  const std::optional<ProcessId> Target = chooseTarget(Pending, Now);
  ++Pending.Attempts;
  if (Target) {
    send(Entry, *Target, Now);
    return;
  }
  // No home of the key is known yet. Nothing has been sent, so waiting for the
  // home set is not a retry. The deadline bounds the wait.
  if (!Context.Idempotent) {
    scheduleAttempt(Entry, Now);
    return;
  }
  handleFailure(
      Entry, {.Verdict = Verdict::NotRun, .Reason = RefusalReason::NoBackend},
      Now);
}

void CallClient::scheduleAttempt(RequestIterator Entry, Instant Now) {
  const std::uint32_t Doublings =
      std::min(Entry->second.Attempts, MaxBackoffDoublings);
  const Duration Wait = HomeBackoffBase * static_cast<double>(1U << Doublings);
  ScheduledAttempts.insert({Now + Wait, Entry->first});
}

void CallClient::send(RequestIterator Entry, const ProcessId &Target,
                      Instant Now) {
  Request &Pending = Entry->second;
  const CallId Call{++LastCall};
  Pending.Call = Call;
  Pending.Target = Target;
  Pending.SentAt = Now;
  Pending.AllocatedAttempts = Pending.Budget.allocate();
  Calls.emplace(Call, Entry->first);
  Peers.callStarted(Pending.Context.Service, Target, Now);
  RequestContext Context = Pending.Context;
  Context.Age += Now - Pending.Arrived;
  Context.Remaining = Pending.Deadline - Now;
  Context.ExtraAttempts = Pending.AllocatedAttempts;
  Context.FirstSend = Context.FirstSend && !Pending.AnyAttemptMayHaveRun;
  Out.sendCall(Call, Entry->first, Target.Address, Context);
}

void CallClient::callDone(CallId Call, const CallResult &Result, Instant Now) {
  const auto Found = Calls.find(Call);
  if (Found == Calls.end())
    return;
  const RequestIterator Entry = Requests.find(Found->second);
  Calls.erase(Found);
  Request &Pending = Entry->second;
  Pending.Call.reset();
  Pending.Budget.returnUnused(Pending.AllocatedAttempts, Result.UnusedAttempts);
  recordResult(Pending, Result, Now);
  if (Result.Verdict != Verdict::Ran) {
    handleFailure(Entry, Result, Now);
    return;
  }
  finish(Entry, {.Verdict = Verdict::Ran,
                 .Reason = Result.Reason,
                 .Source = BodySource::Call,
                 .SourceId = static_cast<std::uint64_t>(Call),
                 .LowestAccepted = Result.LowestAccepted,
                 .DownstreamRefused = Result.DownstreamRefused});
}

void CallClient::recordResult(const Request &Pending, const CallResult &Result,
                              Instant Now) {
  const RequestContext &Context = Pending.Context;
  Peers.callEnded(Context.Service, Pending.Target, peerCallOutcome(Result),
                  Now - Pending.SentAt, Now);
  // A failed call says nothing about the capacity of the target.
  if (peerCallOutcome(Result) == PeerCallOutcome::Failed)
    return;
  Shedder.observe({.Target = targetOf(Context),
                   .Peer = Pending.Target,
                   .Rank = Context.Rank,
                   .Caller = Context.Caller.view(),
                   .Level = Result.LowestAccepted,
                   .Accepted = !isCapacityRefusal(Result.Reason) &&
                               !Result.DownstreamRefused},
                  Now);
}

void CallClient::handleFailure(RequestIterator Entry, const CallResult &Result,
                               Instant Now) {
  Request &Pending = Entry->second;
  Pending.AnyAttemptMayHaveRun =
      Pending.AnyAttemptMayHaveRun || mayHaveRun(Result);
  // Retries follow each other faster than crash reports propagate, so a lost
  // backend server is counted in the request itself.
  if (mayHaveRun(Result) && Result.Reason == RefusalReason::BackendFailed)
    ++Pending.Context.CrashCount;
  if (shouldRetry(Pending, Result, Now)) {
    Pending.Excluded.push_back(Pending.Target);
    if (!needsBackoff(Pending.Context, Result.Reason)) {
      attempt(Entry, Now);
      return;
    }
    scheduleAttempt(Entry, Now);
    return;
  }
  Answer Final{.Verdict = verdictOf(Pending.Context, Result),
               .Reason = Result.Reason,
               .LowestAccepted = Result.LowestAccepted,
               .DownstreamRefused =
                   Result.DownstreamRefused || isCapacityRefusal(Result.Reason),
               .RetryAfter = RetryAfterRefusal};
  finish(Entry, Final);
}

bool CallClient::shouldRetry(Request &Pending, const CallResult &Result,
                             Instant Now) {
  const RequestContext &Context = Pending.Context;
  if (Context.CrashCount >= Guard.maxCrashes())
    return false;
  // A refusal or failure at a deeper hop arrives as the answer of the backend
  // server in between, so every failure seen here is that of the called node.
  const AttemptFailure Failure{
      .Verdict = mayHaveRun(Result) ? Verdict::MayHaveRun : Verdict::NotRun,
      .Reason = Result.Reason,
      .Idempotent = Context.Idempotent,
      .Direct = true,
      .Remaining = Pending.Deadline - Now,
      .ExpectedDuration =
          Peers.expectedLatency(Context.Service, Pending.Target)};
  return RetryPolicy::decide(Failure, Pending.Budget,
                             retryThrottle(Context.Service)) ==
         RetryDecision::Retry;
}

void CallClient::cancel(RequestId Id, Instant Now) {
  abort(Id, RefusalReason::Cancelled, Now);
}

void CallClient::tick(Instant Now) {
  while (!ScheduledAttempts.empty() && ScheduledAttempts.begin()->Time <= Now) {
    const RequestId Id = ScheduledAttempts.begin()->Id;
    ScheduledAttempts.erase(ScheduledAttempts.begin());
    const RequestIterator Entry = Requests.find(Id);
    if (Entry != Requests.end() && !Entry->second.Call)
      attempt(Entry, Now);
  }
  while (const std::optional<RequestId> Id = Deadlines.popExpired(Now))
    abort(*Id, RefusalReason::Deadline, Now);
}

Epoch CallClient::homeEpoch(const ServiceName &Service) const {
  const auto Found = Homes.find(Service);
  return Found != Homes.end() ? Found->second.epoch() : 0;
}

Instant CallClient::nextDeadline() const {
  const Instant Next = Deadlines.next();
  return ScheduledAttempts.empty()
             ? Next
             : std::min(Next, ScheduledAttempts.begin()->Time);
}

void CallClient::abort(RequestId Id, RefusalReason Reason, Instant Now) {
  const RequestIterator Entry = Requests.find(Id);
  if (Entry == Requests.end())
    return;
  Request &Pending = Entry->second;
  if (Pending.Joined) {
    Coalescer.abandon(Pending.Context.Caller, Pending.Context.Key,
                      static_cast<std::uint64_t>(Id));
    Pending.Origin.MayBeResent = false;
    answerAndErase(Entry, {.Verdict = Verdict::MayHaveRun, .Reason = Reason});
    return;
  }
  Answer Final = refusal(Pending.Context, Reason);
  if (Pending.Call) {
    const bool IsLate = Reason == RefusalReason::Deadline;
    Peers.callEnded(Pending.Context.Service, Pending.Target,
                    IsLate ? PeerCallOutcome::Failed
                           : PeerCallOutcome::Cancelled,
                    Now - Pending.SentAt, Now);
    Out.cancelCall(*Pending.Call);
    Calls.erase(*Pending.Call);
    Final.Verdict = Verdict::MayHaveRun;
  }
  finish(Entry, Final);
}

void CallClient::finish(RequestIterator Entry, Answer Value) {
  const Request &Sent = Entry->second;
  if (Value.Verdict == Verdict::NotRun && Sent.AnyAttemptMayHaveRun)
    Value.Verdict = Verdict::MayHaveRun;
  if (!Sent.Origin.MayBeResent) {
    answerAndErase(Entry, Value);
    return;
  }
  for (std::uint64_t Id :
       Coalescer.finish(Sent.Context.Caller, Sent.Context.Key)) {
    const RequestIterator Joined = Requests.find(RequestId{Id});
    if (Joined == Requests.end() || Joined == Entry)
      continue;
    // The verdict depends on whether the joined request is the first send of
    // its key.
    Answer JoinedAnswer = Value;
    if (Value.Verdict == Verdict::NotRun)
      JoinedAnswer.Verdict =
          refusal(Joined->second.Context, Value.Reason).Verdict;
    answerAndErase(Joined, JoinedAnswer);
  }
  answerAndErase(Entry, Value);
}

void CallClient::answerAndErase(RequestIterator Entry, const Answer &Value) {
  const RequestId Id = Entry->first;
  const Request Done = std::move(Entry->second);
  Deadlines.remove(Done.Deadline, Id);
  Requests.erase(Entry);
  if (Done.Origin.Parent)
    Server.endNestedCall({.Parent = *Done.Origin.Parent,
                          .AllocatedAttempts = Done.Context.ExtraAttempts,
                          .UnusedAttempts = Done.Budget.available(),
                          .LowestAccepted = Value.LowestAccepted,
                          .RefusedForCapacity = Value.DownstreamRefused});
  Answers.answer(Id, Value);
}

RetryThrottle &CallClient::retryThrottle(const ServiceName &Service) {
  return RetryThrottles.try_emplace(Service, ConfiguredRetryRatio)
      .first->second;
}

} // namespace camphorpin::detail
