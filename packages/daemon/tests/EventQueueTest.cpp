// Guards a stopping node against requests that nobody answers: an HTTP thread
// would wait for good, and the process would not end.
#include "camphorpin/src/Daemon/EventQueue.h"

#include <criterion/criterion.h>
#include <optional>

using namespace camphorpin;

namespace {

class KeepingSink final : public AnswerSink {
public:
  void deliver(const Answer &Given, const SharedPayload &) override {
    Value = Given;
  }
  std::optional<Answer> Value;
};

RequestArrived request(EventQueue &Events, bool Keyed, bool First,
                       const std::shared_ptr<AnswerSink> &Sink) {
  RequestInfo Info;
  if (Keyed)
    Info.Key = RequestKey();
  Info.FirstSend = First;
  return {Events.nextRequest(), std::move(Info), nullptr, Sink};
}

} // namespace

Test(EventQueue, requestsThatAreLeftAreRefusedTruthfully) {
  EventQueue Events(10);
  const auto Unkeyed = std::make_shared<KeepingSink>();
  const auto First = std::make_shared<KeepingSink>();
  const auto Repeated = std::make_shared<KeepingSink>();
  const auto Call = std::make_shared<KeepingSink>();
  cr_assert(Events.offer(request(Events, false, false, Unkeyed)));
  cr_assert(Events.offer(request(Events, true, true, First)));
  cr_assert(Events.offer(request(Events, true, false, Repeated)));
  RequestContext Context;
  Context.Idempotent = true;
  cr_assert(Events.offer(
      CallArrived{Events.nextRequest(), std::move(Context), nullptr, Call}));
  Events.end();
  cr_assert_eq(Unkeyed->Value->Verdict, Verdict::NotRun);
  cr_assert_eq(First->Value->Verdict, Verdict::NotRun);
  cr_assert_eq(Repeated->Value->Verdict, Verdict::MayHaveRun);
  cr_assert_eq(Call->Value->Verdict, Verdict::NotRun);
  cr_assert_eq(Unkeyed->Value->Reason, RefusalReason::Draining);
}

Test(EventQueue, questionThatIsLeftIsAnswered) {
  EventQueue Events(10);
  const auto Reply = std::make_shared<std::promise<Explanation>>();
  cr_assert(Events.complete(
      ExplainRequested{ServiceName("s"), OperationName("o"), Reply}));
  Events.end();
  cr_assert_eq(Reply->get_future().get().Refusal, RefusalReason::Draining);
}

Test(EventQueue, takesNothingAfterItsEnd) {
  EventQueue Events(10);
  Events.end();
  const auto Sink = std::make_shared<KeepingSink>();
  cr_assert_not(Events.offer(request(Events, false, false, Sink)));
  cr_assert_not(Events.complete(DrainRequested{}));
}
