#include "camphorpin/src/Engine/CallOriginator.h"

#include "camphorpin/src/Engine/Refusal.h"

#include <utility>

namespace camphorpin::detail {

void CallOriginator::start(RequestId Id, const RequestContext &Context,
                           Instant Now) {
  const std::optional<HostAddress> Target = Peers.pick(Context.Service);
  if (!Target) {
    Out.answer(Id, refusal(Context, RefusalReason::NoBackend));
    return;
  }
  const CallId Call{++LastCall};
  Request Entry{
      .Context = Context, .Deadline = Now + Context.Remaining, .Call = Call};
  Deadlines.add(Entry.Deadline, Id);
  Requests.emplace(Id, std::move(Entry));
  Calls.emplace(Call, Id);
  Out.sendCall(Call, Id, *Target, Context);
}

void CallOriginator::callDone(CallId Call, const CallResult &Result,
                              Instant /*Now*/) {
  const auto Found = Calls.find(Call);
  if (Found == Calls.end())
    return;
  const RequestIterator Entry = Requests.find(Found->second);
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

void CallOriginator::cancel(RequestId Id) {
  giveUp(Id, RefusalReason::Cancelled);
}

void CallOriginator::tick(Instant Now) {
  while (const std::optional<RequestId> Id = Deadlines.takeDue(Now))
    giveUp(*Id, RefusalReason::Deadline);
}

void CallOriginator::giveUp(RequestId Id, RefusalReason Reason) {
  const RequestIterator Entry = Requests.find(Id);
  if (Entry == Requests.end())
    return;
  Out.cancelCall(Entry->second.Call);
  finish(Entry, {.Verdict = Verdict::MayHaveRun, .Reason = Reason});
}

void CallOriginator::finish(RequestIterator Entry, const Answer &Value) {
  const RequestId Id = Entry->first;
  Deadlines.remove(Entry->second.Deadline, Id);
  Calls.erase(Entry->second.Call);
  Requests.erase(Entry);
  Out.answer(Id, Value);
}

} // namespace camphorpin::detail
