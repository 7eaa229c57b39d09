#include "camphorpin/src/Engine/NodeLifecycle.h"

#include <array>

namespace camphorpin {

namespace embedded {
extern const std::string_view NodeLifecycleChart;
} // namespace embedded

namespace {

// In the order of the enumerators of LifecycleEvent.
constexpr std::array<std::string_view, 5> EventNames = {
    "started", "joined", "drain", "work-finished", "handed-over"};

} // namespace

NodeLifecycle::NodeLifecycle()
    : Chart(StateChart::embedded(embedded::NodeLifecycleChart)),
      Current(Chart.initial()), Serving(Chart.state("serving")),
      Draining(Chart.state("draining")), Leaving(Chart.state("leaving")),
      Ended(Chart.state("ended")) {}

bool NodeLifecycle::handle(LifecycleEvent Event) {
  const StateChart::State Before = Current;
  Current = Chart.next(Current, EventNames.at(static_cast<std::size_t>(Event)));
  return Current != Before;
}

bool NodeLifecycle::acceptsWork() const { return Current == Serving; }

} // namespace camphorpin
