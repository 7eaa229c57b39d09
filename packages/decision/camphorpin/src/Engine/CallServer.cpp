#include "camphorpin/src/Engine/CallServer.h"

#include "camphorpin/src/Engine/Refusal.h"

#include <algorithm>
#include <utility>

namespace camphorpin::detail {

namespace {

constexpr Duration MemberUpdatePeriod = Duration::seconds(1);

std::uint64_t toNumber(RequestId Id) { return static_cast<std::uint64_t>(Id); }

AdmissionOutcome outcomeOf(const BackendResult &Result) {
  if (Result.Verdict == Verdict::Ran)
    return AdmissionOutcome::Completed;
  if (Result.Reason == RefusalReason::BackendShed)
    return AdmissionOutcome::BackendShed;
  return Result.Reason == RefusalReason::Cancelled ? AdmissionOutcome::Cancelled
                                                   : AdmissionOutcome::Failed;
}

} // namespace

CallServer::CallServer(const ServiceName &Service, Actions &Out,
                       AnswerTracker &Answers, CrashGuard &Guard,
                       const MemberDirectory &Members, const Clock &Time)
    : Service(Service), Out(Out), Answers(Answers), Guard(Guard),
      Members(Members), Time(Time) {}

void CallServer::applyPolicy(const MeshPolicy &Mesh,
                             const ServicePolicy &Policy) {
  const Instant Now = Time.now();
  if (Admission) {
    Admission->applyMeshPolicy(Mesh, Now);
    Admission->applyServicePolicy(Policy, Now);
    applyDecisions();
    return;
  }
  // std::make_unique cannot convert to the private bases.
  AdmissionListener &AdmissionCallbacks = *this;
  ClaimListener &ClaimCallbacks = *this;
  Admission = std::make_unique<AdmissionController>(Mesh, Policy,
                                                    AdmissionCallbacks, Now);
  ClaimConfig.KeyRetention = Mesh.KeyRetention;
  ClaimConfig.LogSilenceBound =
      Policy.LogSilenceBound.value_or(Mesh.LogSilenceBound);
  Claims = std::make_unique<ClaimManager>(Service, ClaimCallbacks, Out, Members,
                                          Time);
  resetClaims();
}

void CallServer::resetClaims() {
  if (!Claims)
    return;
  // The new identity must not resolve the claims of the previous one.
  std::vector<RequestId> Undecided;
  for (auto &[Id, Entry] : Calls) {
    Entry.Claimed = false;
    if (Entry.State == Phase::Claiming || Entry.State == Phase::Joined)
      Undecided.push_back(Id);
  }
  for (RequestId Id : Undecided) {
    Answers.answer(Id, {.Verdict = Verdict::MayHaveRun,
                        .Reason = RefusalReason::HomeChanging});
    erase(Calls.find(Id));
  }
  Joined.clear();
  Claims->start(Members.membership().self().Process, ClaimConfig);
  if (Homes.epoch() > 0)
    Claims->adopt(Homes);
  if (LogUpToDateAsOf)
    Claims->onLogUpToDate(*LogUpToDateAsOf);
}

void CallServer::accept(RequestId Id, const RequestContext &Context) {
  const Instant Now = Time.now();
  if (Context.Service != Service || !Admission) {
    Answers.answer(Id, refusal(Context, RefusalReason::NoBackend));
    return;
  }
  if (Context.Remaining <= Duration()) {
    Answers.answer(Id, refusal(Context, RefusalReason::Deadline));
    return;
  }
  const Instant Deadline = Now + Context.Remaining;
  Deadlines.add(Deadline, Id);
  const CallIterator Entry =
      Calls
          .emplace(
              Id, Call{.Context = Context,
                       .Arrived = Now,
                       .Deadline = Deadline,
                       .NestedCalls = NestedCallTracker(Context.ExtraAttempts)})
          .first;
  if (Context.Idempotent)
    admit(Entry);
  else
    Claims->requestClaim(Id, Context, Deadline);
  applyDecisions();
}

void CallServer::claimDecided(RequestId Id, const ClaimDecision &Decision) {
  const CallIterator Entry = Calls.find(Id);
  if (Entry == Calls.end())
    return;
  switch (Decision.Outcome) {
  case ClaimOutcome::Run:
    Entry->second.Claimed = true;
    admit(Entry);
    break;
  case ClaimOutcome::Join:
    Entry->second.State = Phase::Joined;
    Joined[Entry->second.Context.Key].push_back(Id);
    break;
  case ClaimOutcome::Answer:
    answerWithoutRun(Entry, {.Verdict = Verdict::Ran,
                             .Source = BodySource::Stored,
                             .SourceId = Decision.Answer});
    break;
  case ClaimOutcome::Refuse:
    answerWithoutRun(Entry,
                     {.Verdict = Decision.Verdict,
                      .Reason = Decision.Reason,
                      .UnusedAttempts = Entry->second.Context.ExtraAttempts,
                      .RetryAfter = RetryAfterRefusal});
    break;
  }
}

void CallServer::answerWithoutRun(CallIterator Entry, const Answer &Value) {
  const RequestKey Key = Entry->second.Context.Key;
  Answers.answer(Entry->first, Value);
  erase(Entry);
  // Calls with the same key that joined this call while its claim was pending
  // get the same answer.
  answerJoined(Key, Value);
}

void CallServer::admit(CallIterator Entry) {
  const Instant Now = Time.now();
  Call &Pending = Entry->second;
  Pending.State = Phase::Queued;
  // The time spent on the claim counts towards the age and the deadline.
  RequestContext Current = Pending.Context;
  Current.Age += Now - Pending.Arrived;
  Current.Remaining = Pending.Deadline - Now;
  Admission->offer(AdmissionRequest::from(toNumber(Entry->first), Current),
                   Now);
}

void CallServer::start(std::uint64_t Id) {
  PendingDecisions.push_back({AdmissionDecision::Kind::Start, RequestId{Id}});
}

void CallServer::refuse(std::uint64_t Id, RefusalReason Reason) {
  PendingDecisions.push_back(
      {AdmissionDecision::Kind::Refuse, RequestId{Id}, Reason});
}

void CallServer::cancelRunning(std::uint64_t Id) {
  PendingDecisions.push_back({AdmissionDecision::Kind::Cancel, RequestId{Id}});
}

void CallServer::applyDecisions() {
  if (std::exchange(ApplyingDecisions, true))
    return;
  while (!PendingDecisions.empty()) {
    const AdmissionDecision Next = PendingDecisions.front();
    PendingDecisions.pop_front();
    const CallIterator Entry = Calls.find(Next.Id);
    if (Entry == Calls.end())
      continue;
    if (Next.Action == AdmissionDecision::Kind::Start)
      run(Entry);
    else if (Next.Action == AdmissionDecision::Kind::Refuse)
      refuseBeforeRun(Entry, Next.Reason);
    else
      Out.cancelRun(Next.Id);
  }
  ApplyingDecisions = false;
  if (Admission)
    Answers.setLowestAccepted(Admission->sheddingLevel());
}

void CallServer::run(CallIterator Entry) {
  const Instant Now = Time.now();
  const RequestId Id = Entry->first;
  Call &Pending = Entry->second;
  const CrashDecision Choice =
      Guard.start(toNumber(Id), Pending.Context.Fingerprint,
                  Pending.Context.CrashCount, Now);
  if (Choice != CrashDecision::Start) {
    // Isolate: another suspect is running here. The call is refused like one
    // that the backend server sheds.
    const RefusalReason Reason = Choice == CrashDecision::Refuse
                                     ? RefusalReason::CrashSuspect
                                     : RefusalReason::BackendShed;
    Admission->onFinished(toNumber(Id), AdmissionOutcome::Cancelled, Now);
    refuseBeforeRun(Entry, Reason);
    return;
  }
  Pending.State = Phase::Running;
  Pending.StartedAt = Now;
  RequestContext Current = Pending.Context;
  Current.Age += Now - Pending.Arrived;
  Current.Remaining = Pending.Deadline - Now;
  Out.startRun(Id, Current);
}

void CallServer::refuseBeforeRun(CallIterator Entry, RefusalReason Reason) {
  const Call &Pending = Entry->second;
  if (Pending.RefusalOverride != RefusalReason::None)
    Reason = Pending.RefusalOverride;
  Answers.answer(Entry->first, {.Verdict = Verdict::NotRun,
                                .Reason = Reason,
                                .UnusedAttempts = Pending.Context.ExtraAttempts,
                                .RetryAfter = RetryAfterRefusal});
  const RequestKey Key = Pending.Context.Key;
  const bool Claimed = Pending.Claimed;
  erase(Entry);
  if (!Claimed)
    return;
  answerJoined(Key, {.Verdict = Verdict::NotRun, .Reason = Reason});
  Claims->release(Key);
}

void CallServer::answerJoined(const RequestKey &Key, const Answer &Value) {
  const auto Found = Joined.find(Key);
  if (Found == Joined.end())
    return;
  const std::vector<RequestId> Ids = std::move(Found->second);
  Joined.erase(Found);
  for (RequestId Id : Ids) {
    const CallIterator Entry = Calls.find(Id);
    if (Entry == Calls.end())
      continue;
    // The verdict depends on whether the joined call is the first send of its
    // key.
    Answer JoinedAnswer = Value;
    if (Value.Verdict == Verdict::NotRun)
      JoinedAnswer.Verdict =
          ClaimHome::refusalVerdict(Entry->second.Context.FirstSend);
    Answers.answer(Id, JoinedAnswer);
    erase(Entry);
  }
}

void CallServer::endRun(RequestId Id, const BackendResult &Result) {
  const CallIterator Entry = Calls.find(Id);
  if (Entry == Calls.end() || Entry->second.State != Phase::Running)
    return;
  const Instant Now = Time.now();
  updateBackendState(Result, Entry->second.StartedAt);
  if (Result.ConnectionLost)
    Guard.onRunLost(toNumber(Id), Now);
  Guard.end(toNumber(Id), Result.Verdict == Verdict::Ran, Now);
  const Call &Pending = Entry->second;
  Admission->onFinished(toNumber(Id), outcomeOf(Result), Now,
                        Pending.NestedCalls.downstreamTime(Now));
  Answer Reply{.Verdict = Result.Verdict,
               .Reason = Result.Reason,
               .UnusedAttempts = Pending.NestedCalls.unusedAttempts(),
               .LowestAccepted = Pending.NestedCalls.lowestAccepted(),
               .DownstreamRefused = Pending.NestedCalls.hasCapacityRefusal()};
  if (Result.Verdict == Verdict::Ran) {
    Reply.Source = BodySource::Backend;
    Reply.SourceId = toNumber(Id);
  }
  Answers.answer(Id, Reply);
  if (Pending.Claimed) {
    answerJoined(Pending.Context.Key, Reply);
    resolveClaim(Entry, Result);
  }
  erase(Entry);
  applyDecisions();
}

void CallServer::resolveClaim(CallIterator Entry, const BackendResult &Result) {
  const RequestKey Key = Entry->second.Context.Key;
  switch (Result.Verdict) {
  case Verdict::Ran:
    Out.storeAnswer(Entry->first);
    Claims->finish(Key, Entry->first, Result.AnswerBytes);
    break;
  case Verdict::MayHaveRun:
    Claims->fail(Key);
    break;
  case Verdict::NotRun:
    Claims->release(Key);
    break;
  }
}

void CallServer::updateBackendState(const BackendResult &Result,
                                    Instant StartedAt) {
  const Instant Now = Time.now();
  // A run that started after the last crash was accepted by a restarted backend
  // server, so its loss is another crash.
  const bool IsNewCrash = !BackendDown || StartedAt > CrashedAt;
  if (Result.BackendDown && IsNewCrash) {
    BackendDown = true;
    CrashedAt = Now;
    Out.logEvent(LogEvent::BackendCrashed,
                 {{"running", std::to_string(Admission->running())}});
    Guard.onBackendCrash(Now);
  }
  if (Result.Verdict == Verdict::Ran && std::exchange(BackendDown, false)) {
    Out.logEvent(LogEvent::BackendRecovered, {});
    Admission->onBackendRestarted(Now);
  }
}

void CallServer::cancel(RequestId Id) {
  const CallIterator Entry = Calls.find(Id);
  // A non-idempotent call is not cancelled, so that a resend can join it.
  if (Entry == Calls.end() || !Entry->second.Context.Idempotent)
    return;
  if (Entry->second.State == Phase::Running)
    Answers.answer(Id, {.Verdict = Verdict::MayHaveRun,
                        .Reason = RefusalReason::Cancelled});
  Admission->onCancelled(toNumber(Id), Time.now());
  applyDecisions();
}

void CallServer::tick(Instant Now) {
  if (!Admission)
    return;
  Claims->tick(Now);
  Admission->tick(Now);
  if (Now >= NextMemberUpdate) {
    NextMemberUpdate = Now + MemberUpdatePeriod;
    Claims->updateMembers();
  }
  applyDecisions();
  while (const std::optional<RequestId> Id = Deadlines.popExpired(Now)) {
    const CallIterator Entry = Calls.find(*Id);
    if (Entry != Calls.end())
      expire(Entry);
  }
  applyDecisions();
}

void CallServer::expire(CallIterator Entry) {
  const RequestId Id = Entry->first;
  Call &Pending = Entry->second;
  switch (Pending.State) {
  case Phase::Running:
    Answers.answer(Id, {.Verdict = Verdict::MayHaveRun,
                        .Reason = RefusalReason::Deadline});
    if (Pending.Context.Idempotent)
      Admission->onCancelled(toNumber(Id), Time.now());
    break;
  case Phase::Queued:
    Pending.RefusalOverride = RefusalReason::Deadline;
    Admission->onCancelled(toNumber(Id), Time.now());
    break;
  case Phase::Joined:
    Answers.answer(Id, {.Verdict = Verdict::MayHaveRun,
                        .Reason = RefusalReason::Deadline});
    removeJoined(Pending.Context.Key, Id);
    erase(Entry);
    break;
  case Phase::Claiming:
    // ClaimHome refuses the call when its deadline has passed.
    break;
  }
}

void CallServer::removeJoined(const RequestKey &Key, RequestId Id) {
  const auto Found = Joined.find(Key);
  if (Found == Joined.end())
    return;
  std::erase(Found->second, Id);
  if (Found->second.empty())
    Joined.erase(Found);
}

void CallServer::erase(CallIterator Entry) {
  Deadlines.remove(Entry->second.Deadline, Entry->first);
  Calls.erase(Entry);
}

void CallServer::adopt(const HomeSet &Set) {
  if (Set.epoch() <= Homes.epoch())
    return;
  Homes = Set;
  if (Claims)
    Claims->adopt(Set);
  applyDecisions();
}

void CallServer::onLogUpToDate(Instant AsOf) {
  LogUpToDateAsOf = AsOf;
  if (Claims)
    Claims->onLogUpToDate(AsOf);
  applyDecisions();
}

void CallServer::onClaimMessage(const ProcessId &To,
                                const ClaimMessage &Message) {
  if (Claims)
    Claims->onMessage(To, Message);
  applyDecisions();
}

std::optional<NestedCall> CallServer::beginNestedCall(RequestId Parent,
                                                      const std::string &Target,
                                                      const std::string &Step) {
  const CallIterator Entry = Calls.find(Parent);
  if (Entry == Calls.end() || Entry->second.State != Phase::Running)
    return std::nullopt;
  const Instant Now = Time.now();
  Call &Pending = Entry->second;
  RequestContext Current = Pending.Context;
  Current.Age += Now - Pending.Arrived;
  Current.Remaining = Pending.Deadline - Now;
  return Pending.NestedCalls.begin(Current, Target, Step, Now);
}

void CallServer::endNestedCall(const NestedCallOutcome &Outcome) {
  const CallIterator Entry = Calls.find(Outcome.Parent);
  if (Entry != Calls.end())
    Entry->second.NestedCalls.end(Outcome, Time.now());
}

} // namespace camphorpin::detail
