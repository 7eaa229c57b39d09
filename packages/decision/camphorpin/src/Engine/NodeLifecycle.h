#ifndef CAMPHORPIN_SRC_ENGINE_NODELIFECYCLE_H
#define CAMPHORPIN_SRC_ENGINE_NODELIFECYCLE_H

#include "camphorpin/Core.h"

#include <string_view>

namespace camphorpin {

/// \brief The events that change the lifecycle state of a node.
enum class LifecycleEvent : std::uint8_t {
  Started,
  Joined,
  Drain,
  WorkFinished,
  HandedOver,
};

/// \class NodeLifecycle
/// \brief The lifecycle state of a node. The state chart is lifecycle.json.
class NodeLifecycle {
public:
  NodeLifecycle();

  /// \returns true if the event changed the state.
  bool handle(LifecycleEvent Event);

  /// \returns the name of the state, for example "serving".
  std::string_view state() const { return Chart.name(Current); }

  /// \returns true if new work of callers and other nodes is accepted.
  bool acceptsWork() const;

  bool isDraining() const { return Current == Draining; }
  bool isLeaving() const { return Current == Leaving; }
  bool hasEnded() const { return Current == Ended; }

private:
  StateChart Chart;
  StateChart::State Current;
  StateChart::State Serving;
  StateChart::State Draining;
  StateChart::State Leaving;
  StateChart::State Ended;
};

} // namespace camphorpin

#endif
