#include "camphorpin/src/Daemon/EventQueue.h"

#include "camphorpin/src/Engine/Refusal.h"

namespace camphorpin {

namespace {

/// Refuses events that somebody waits for; the others need no answer.
struct Refuse {
  void operator()(const RequestArrived &Event) const {
    Event.Sink->deliver(detail::refusal(Event.Info, RefusalReason::Draining),
                        nullptr);
  }
  void operator()(const CallArrived &Event) const {
    Event.Sink->deliver(detail::refusal(Event.Context, RefusalReason::Draining),
                        nullptr);
  }
  void operator()(const ExplainRequested &Event) const {
    Explanation Result;
    Result.Refusal = RefusalReason::Draining;
    Event.Reply->set_value(Result);
  }
  template <class Other> void operator()(const Other & /*Event*/) const {}
};

} // namespace

void EventQueue::end() {
  Ring.close();
  while (const std::optional<NodeEvent> Event = Ring.tryPop())
    std::visit(Refuse(), *Event);
}

} // namespace camphorpin
