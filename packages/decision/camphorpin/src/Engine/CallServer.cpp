#include "camphorpin/src/Engine/CallServer.h"

#include <utility>

namespace camphorpin::detail {

void CallServer::accept(RequestId Id, const RequestContext &Context,
                        Instant Now) {
  if (Context.Service != Service) {
    Answers.answer(Id, {.Reason = RefusalReason::NoBackend});
    return;
  }
  if (Context.Remaining <= Duration()) {
    Answers.answer(Id, {.Reason = RefusalReason::Deadline});
    return;
  }
  Call Entry{
      .Context = Context, .Arrived = Now, .Deadline = Now + Context.Remaining};
  Deadlines.add(Entry.Deadline, Id);
  Calls.emplace(Id, std::move(Entry));
  Out.startBackend(Id, Context);
}

void CallServer::finished(RequestId Id, const BackendResult &Result,
                          Instant /*Now*/) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return;
  Answer Value{.Verdict = Result.Verdict, .Reason = Result.Reason};
  if (Result.Verdict == Verdict::Ran) {
    Value.Source = BodySource::Backend;
    Value.SourceId = static_cast<std::uint64_t>(Id);
  }
  Deadlines.remove(Found->second.Deadline, Id);
  Answers.answer(Id, Value);
  Calls.erase(Found);
}

void CallServer::cancel(RequestId Id) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end() || !Answers.isOpen(Id))
    return;
  Out.cancelBackend(Id);
  Answers.answer(
      Id, {.Verdict = Verdict::MayHaveRun, .Reason = RefusalReason::Cancelled});
}

void CallServer::tick(Instant Now) {
  while (const std::optional<RequestId> Id = Deadlines.takeDue(Now)) {
    const auto Found = Calls.find(*Id);
    if (Found == Calls.end() || !Answers.isOpen(*Id))
      continue;
    Out.cancelBackend(*Id);
    Answers.answer(*Id, {.Verdict = Verdict::MayHaveRun,
                         .Reason = RefusalReason::Deadline});
  }
}

std::optional<NestedCall> CallServer::nest(RequestId Parent,
                                           const std::string &Target,
                                           const std::string &Step,
                                           Instant Now) {
  const auto Found = Calls.find(Parent);
  if (Found == Calls.end())
    return std::nullopt;
  Call &Entry = Found->second;
  if (Entry.Children.size() >= MaxChildren)
    return std::nullopt;
  const std::string Label =
      Step.empty() ? std::to_string(Entry.Ordinals[Target]++) : Step;
  NestedCall Nested;
  Nested.Parent = Entry.Context;
  Nested.Parent.Age += Now - Entry.Arrived;
  Nested.Parent.Remaining = Entry.Deadline - Now;
  Nested.Key = Entry.Context.Key.child(Target, Label);
  const bool IsNew = Entry.Children.insert(Nested.Key).second;
  Nested.FirstSend = IsNew && Entry.Context.FirstSend;
  return Nested;
}

} // namespace camphorpin::detail
