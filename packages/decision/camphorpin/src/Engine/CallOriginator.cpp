#include "camphorpin/src/Engine/CallOriginator.h"

#include "camphorpin/src/Engine/Refusal.h"

#include <utility>

namespace camphorpin::detail {

namespace {

/// \returns how a call ended as far as it tells about the called node.
CallEnd callEnd(const CallResult &Result) {
  if (Result.Verdict == Verdict::Ran)
    return CallEnd::Answered;
  const bool IsFault = Result.Reason == RefusalReason::PeerFailed ||
                       Result.Reason == RefusalReason::BackendFailed ||
                       Result.Reason == RefusalReason::Deadline;
  return IsFault ? CallEnd::Failed : CallEnd::Refused;
}

} // namespace

void CallOriginator::start(RequestId Id, const RequestContext &Context,
                           Instant Now) {
  const std::optional<ProcessId> Target = Peers.pick(Context.Service, {}, Now);
  if (!Target) {
    Answers.answer(Id, refusal(Context, RefusalReason::NoBackend));
    return;
  }
  const CallId Call{++LastCall};
  Request Entry{.Context = Context,
                .Deadline = Now + Context.Remaining,
                .Call = Call,
                .Target = *Target,
                .SentAt = Now};
  Deadlines.add(Entry.Deadline, Id);
  Requests.emplace(Id, std::move(Entry));
  Calls.emplace(Call, Id);
  Peers.callStarted(Context.Service, *Target, Now);
  Out.sendCall(Call, Id, Target->Address, Context);
}

void CallOriginator::callDone(CallId Call, const CallResult &Result,
                              Instant Now) {
  const auto Found = Calls.find(Call);
  if (Found == Calls.end())
    return;
  const RequestIterator Entry = Requests.find(Found->second);
  const Request &Request = Entry->second;
  Peers.callEnded(Request.Context.Service, Request.Target, callEnd(Result),
                  Now - Request.SentAt, Now);
  Answer Value{.Verdict = Result.Verdict,
               .Reason = Result.Reason,
               .UnusedAttempts = Result.UnusedAttempts,
               .LowestAccepted = Result.LowestAccepted};
  if (Result.Verdict == Verdict::Ran) {
    Value.Source = BodySource::Call;
    Value.SourceId = static_cast<std::uint64_t>(Call);
  }
  finish(Entry, Value);
}

void CallOriginator::cancel(RequestId Id, Instant Now) {
  giveUp(Id, RefusalReason::Cancelled, Now);
}

void CallOriginator::tick(Instant Now) {
  while (const std::optional<RequestId> Id = Deadlines.takeDue(Now))
    giveUp(*Id, RefusalReason::Deadline, Now);
}

void CallOriginator::giveUp(RequestId Id, RefusalReason Reason, Instant Now) {
  const RequestIterator Entry = Requests.find(Id);
  if (Entry == Requests.end())
    return;
  const Request &Request = Entry->second;
  const bool IsLate = Reason == RefusalReason::Deadline;
  Peers.callEnded(Request.Context.Service, Request.Target,
                  IsLate ? CallEnd::Failed : CallEnd::Cancelled,
                  Now - Request.SentAt, Now);
  Out.cancelCall(Request.Call);
  finish(Entry, {.Verdict = Verdict::MayHaveRun, .Reason = Reason});
}

void CallOriginator::finish(RequestIterator Entry, const Answer &Value) {
  const RequestId Id = Entry->first;
  Deadlines.remove(Entry->second.Deadline, Id);
  Calls.erase(Entry->second.Call);
  Requests.erase(Entry);
  Answers.answer(Id, Value);
}

} // namespace camphorpin::detail
