#ifndef CAMPHORPIN_SRC_CORE_STATECHART_H
#define CAMPHORPIN_SRC_CORE_STATECHART_H

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace camphorpin {

/// \class StateChartError
/// \brief The error of a state chart file that was rejected.
struct StateChartError {
  std::string Message;
};

/// \class StateChart
/// \brief A finite state machine defined by a file.
///
/// The file is JSON with comments:
/// \code
/// { "initial": "alive",
///   "states": ["alive", "suspect", "dead"],
///   "transitions": [
///     { "from": "alive", "on": "probe-failed", "to": "suspect" } ] }
/// \endcode
/// An event without a transition in the current state is ignored.
class StateChart {
public:
  using State = std::uint8_t;

  /// \returns the chart, or the first error found in \p Json.
  static std::variant<StateChart, StateChartError> parse(std::string_view Json);

  /// Parses a chart that is embedded in the executable.
  /// \pre \p Json is a valid chart.
  static StateChart embedded(std::string_view Json);

  State initial() const { return Initial; }

  /// \returns the index of the state \p Name.
  /// \pre the chart has such a state.
  State state(std::string_view Name) const;

  std::string_view name(State Value) const;

  /// \returns the state after \p Event in state \p From.
  State next(State From, std::string_view Event) const;

  /// \returns true if the chart has a transition for \p Event in \p From.
  bool accepts(State From, std::string_view Event) const;

private:
  struct Transition {
    State From;
    std::string Event;
    State To;
  };

  const Transition *find(State From, std::string_view Event) const;

  std::vector<std::string> States;
  std::vector<Transition> Transitions;
  State Initial = 0;
};

} // namespace camphorpin

#endif
