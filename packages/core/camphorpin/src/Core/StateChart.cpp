#include "camphorpin/src/Core/StateChart.h"

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>
#include <optional>

namespace camphorpin {

namespace {

std::optional<StateChart::State> indexOf(const std::vector<std::string> &States,
                                         std::string_view Name) {
  const auto Found = std::find(States.begin(), States.end(), Name);
  if (Found == States.end())
    return std::nullopt;
  return static_cast<StateChart::State>(Found - States.begin());
}

StateChartError unknownState(const std::string &Name) {
  return StateChartError{"unknown state '" + Name + "'"};
}

} // namespace

std::variant<StateChart, StateChartError>
StateChart::parse(std::string_view Json) {
  const nlohmann::json Root =
      nlohmann::json::parse(Json, nullptr, false, /*ignore_comments=*/true);
  if (!Root.is_object())
    return StateChartError{
        "the chart is not valid JSON, or its root is not an object"};
  try {
    StateChart Chart;
    Chart.States = Root.at("states").get<std::vector<std::string>>();
    const std::string Initial = Root.at("initial").get<std::string>();
    const std::optional<State> InitialState = indexOf(Chart.States, Initial);
    if (!InitialState)
      return unknownState(Initial);
    Chart.Initial = *InitialState;
    for (const nlohmann::json &Entry : Root.at("transitions")) {
      const std::string From = Entry.at("from").get<std::string>();
      const std::string To = Entry.at("to").get<std::string>();
      const std::optional<State> FromState = indexOf(Chart.States, From);
      const std::optional<State> ToState = indexOf(Chart.States, To);
      if (!FromState || !ToState)
        return unknownState(FromState ? To : From);
      Chart.Transitions.push_back(
          {*FromState, Entry.at("on").get<std::string>(), *ToState});
    }
    return Chart;
  } catch (const nlohmann::json::exception &Error) {
    return StateChartError{Error.what()};
  }
}

StateChart StateChart::embedded(std::string_view Json) {
  std::variant<StateChart, StateChartError> Result = parse(Json);
  assert(std::holds_alternative<StateChart>(Result) &&
         "the embedded chart is invalid");
  return std::get<StateChart>(std::move(Result));
}

StateChart::State StateChart::state(std::string_view Name) const {
  const std::optional<State> Found = indexOf(States, Name);
  assert(Found && "the chart has no such state");
  return Found.value();
}

std::string_view StateChart::name(State Value) const {
  return States.at(Value);
}

StateChart::State StateChart::next(State From, std::string_view Event) const {
  const Transition *Found = find(From, Event);
  return Found != nullptr ? Found->To : From;
}

bool StateChart::accepts(State From, std::string_view Event) const {
  return find(From, Event) != nullptr;
}

const StateChart::Transition *StateChart::find(State From,
                                               std::string_view Event) const {
  const auto Found =
      std::find_if(Transitions.begin(), Transitions.end(),
                   [From, Event](const Transition &Candidate) {
                     return Candidate.From == From && Candidate.Event == Event;
                   });
  return Found != Transitions.end() ? &*Found : nullptr;
}

} // namespace camphorpin
