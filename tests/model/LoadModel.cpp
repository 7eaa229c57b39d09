#include "LoadModel.h"

#include "Callers.h"

#include <algorithm>
#include <cmath>

namespace camphorpin::model {

namespace {

/// Callers that were sent before the end get this long to come to theirs.
constexpr Duration Grace = Duration::seconds(8);
constexpr Duration TickInterval = Duration::millis(500);
/// The retry budget of the users' deployments.
constexpr double BudgetRatio = 0.2;
constexpr double BudgetSlack = 50;

void addNodes(Fleet &Target) {
  for (const ServiceSpec &Service : Target.System.Services)
    for (std::size_t Index = 0; Index < Service.Speeds.size(); ++Index)
      Target.Nodes.push_back(std::make_unique<ModelNode>(
          Target, Target.Nodes.size(), Index % Target.System.Zones, Service,
          Service.Speeds[Index]));
}

void armTicks(Fleet &Target) {
  Target.Events.after(TickInterval, [&Target] {
    for (const std::unique_ptr<ModelNode> &Node : Target.Nodes)
      Node->tick();
    armTicks(Target);
  });
}

void setWorkers(Fleet &Target, const EventSpec &Event, double Value) {
  for (const std::unique_ptr<ModelNode> &Node : Target.Nodes) {
    if (Node->service() != Event.Target)
      continue;
    if (Event.Kind == EventKind::Shed)
      Node->worker().setShedPart(Value);
    else
      Node->worker().setSlowness(Value);
  }
}

void armEvents(Fleet &Target) {
  for (const EventSpec &Event : Target.System.Events) {
    if (Event.Kind == EventKind::Burst)
      continue;
    Target.Events.after(Event.At, [&Target, &Event] {
      setWorkers(Target, Event, Event.Factor);
    });
    const double Normal = Event.Kind == EventKind::Shed ? 0 : 1;
    Target.Events.after(Event.At + Event.For, [&Target, &Event, Normal] {
      setWorkers(Target, Event, Normal);
    });
  }
}

std::map<std::string, double> useOf(const Fleet &Played) {
  std::map<std::string, double> Busy;
  std::map<std::string, double> Slots;
  for (const std::unique_ptr<ModelNode> &Node : Played.Nodes) {
    Busy[Node->service()] += Node->worker().busyTime().toMillis();
    Slots[Node->service()] += Node->worker().service().Slots;
  }
  for (auto &[Service, Millis] : Busy)
    Millis /= Slots[Service] * Played.System.Length.toMillis();
  return Busy;
}

/// Slot milliseconds that one request needs at each service, calls included.
using Need = std::map<std::string, double>;

void addNeed(const Scenario &System, const RouteSpec &Route, double Times,
             Need &Sum) {
  Sum[Route.Service] += Times * Route.WorkMillis;
  for (const CallSpec &Call : Route.Calls)
    addNeed(System, System.route(Call.Route), Times * Call.Times, Sum);
}

/// \returns the work that each service can do in one second, in milliseconds.
Need roomAt(const Scenario &System, Duration At) {
  Need Result;
  for (const ServiceSpec &Service : System.Services)
    for (const double Speed : Service.Speeds)
      Result[Service.Name] += 1000.0 * Service.Slots * Speed;
  for (const EventSpec &Event : System.Events)
    if (Event.Kind != EventKind::Burst && At >= Event.At &&
        At < Event.At + Event.For)
      Result[Event.Target] *=
          Event.Kind == EventKind::Shed ? 1 - Event.Factor : 1 / Event.Factor;
  return Result;
}

/// Takes from \p Room what \p Rate requests of \p Route and their calls need,
/// as far as it goes.
/// \returns the part of the requests that fit.
double takeRoom(const Scenario &System, const std::string &Route, double Rate,
                Need &Room) {
  Need PerRequest;
  addNeed(System, System.route(Route), 1, PerRequest);
  double Part = 1;
  for (const auto &[Service, Millis] : PerRequest)
    Part = std::min(Part, Room[Service] / (Millis * Rate));
  Part = std::max(0.0, Part);
  for (const auto &[Service, Millis] : PerRequest)
    Room[Service] -= Millis * Rate * Part;
  return Part;
}

} // namespace

double ModelResult::worth() const {
  double Got = 0;
  double Owed = 0;
  for (const auto &[Name, Route] : Routes) {
    Got += Route.Worth;
    Owed += Route.WorthOwed;
  }
  return Owed > 0 ? Got / Owed : 1;
}

ModelResult play(const Scenario &System, std::uint64_t Seed) {
  EventQueue Events;
  SeededRandom Source(Seed);
  Fleet Played{Events, Source, System, {}, {}};
  Played.Budget.Ratio = BudgetRatio;
  Played.Budget.Slack = BudgetSlack;
  addNodes(Played);
  armTicks(Played);
  armEvents(Played);
  Callers Senders(Played);
  Senders.start();
  Events.runUntil(Instant() + System.Length + Grace);
  return {Senders.results(), useOf(Played)};
}

double attainableWorth(const Scenario &System) {
  std::vector<FlowSpec> Flows = System.Flows;
  std::stable_sort(Flows.begin(), Flows.end(),
                   [&System](const FlowSpec &A, const FlowSpec &B) {
                     return System.route(A.Route).Rank <
                            System.route(B.Route).Rank;
                   });
  double Got = 0;
  double Owed = 0;
  const std::int64_t Seconds = System.Length.wholeMillis() / 1000;
  for (std::int64_t Second = 0; Second < Seconds; ++Second) {
    const Duration At = Duration::seconds(Second);
    Need Room = roomAt(System, At);
    for (const FlowSpec &Flow : Flows) {
      const double Rate = Flow.PerSecond * burstFactor(System, Flow.Route, At);
      const double Worth = System.route(Flow.Route).Worth * Rate;
      Got += Worth * takeRoom(System, Flow.Route, Rate, Room);
      Owed += Worth;
    }
  }
  return Owed > 0 ? Got / Owed : 1;
}

} // namespace camphorpin::model
