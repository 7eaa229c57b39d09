#include "Callers.h"

#include <algorithm>
#include <cmath>

namespace camphorpin::model {

namespace {

/// Part of its remaining time that a caller waits when it is told to.
constexpr double LongestWaitPart = 1.0 / 3;
/// How soon a caller repeats a failed request.
constexpr Duration RepeatPause = Duration::millis(20);

} // namespace

double burstFactor(const Scenario &System, std::string_view Route,
                   Duration Time) {
  double Result = 1;
  for (const EventSpec &Event : System.Events)
    if (Event.Kind == EventKind::Burst && Event.Target == Route &&
        Time >= Event.At && Time < Event.At + Event.For)
      Result *= Event.Factor;
  return Result;
}

void Callers::start() {
  for (const FlowSpec &Flow : Target.System.Flows)
    armNext(Flow);
}

void Callers::armNext(const FlowSpec &Flow) {
  const Duration Now = Target.Events.now().sinceOrigin();
  const double Rate =
      Flow.PerSecond * burstFactor(Target.System, Flow.Route, Now);
  const double Seconds = -std::log(1 - Target.Source.uniform01()) / Rate;
  const Duration Pause = Duration::fromMillis(Seconds * 1000);
  if (Now + Pause >= Target.System.Length)
    return;
  Target.Events.after(Pause, [this, &Flow] {
    Request Item;
    Item.Route = &Target.System.route(Flow.Route);
    Item.Node = Target.Source.below(Target.Nodes.size());
    Item.Start = Target.Events.now();
    Item.RetriesLeft = Item.Route->Retries;
    RouteResult &Result = Results[Flow.Route];
    ++Result.Asked;
    Result.WorthOwed += Item.Route->Worth;
    send(Item);
    armNext(Flow);
  });
}

void Callers::send(const Request &Item) {
  const Duration Left = Item.Start + Item.Route->Deadline - Target.Events.now();
  Target.Nodes[Item.Node]->request(
      *Item.Route, Left,
      [this, Item](const RequestEnd &End) { onEnd(Item, End); });
}

void Callers::onEnd(Request Item, const RequestEnd &End) {
  const Duration Left = Item.Start + Item.Route->Deadline - Target.Events.now();
  const bool Refused = End.Status == 503;
  const bool Repeats = End.Status != 200 && Item.RetriesLeft > 0 &&
                       (Refused || Item.Route->Idempotent) &&
                       Left > RepeatPause;
  if (!Repeats) {
    record(Item, End.Status);
    return;
  }
  --Item.RetriesLeft;
  Item.CameBack = Item.CameBack || Refused;
  const Duration Pause =
      Refused ? std::min(End.RetryAfter, Left * LongestWaitPart) : RepeatPause;
  Target.Events.after(Pause, [this, Item] { send(Item); });
}

void Callers::record(const Request &Item, unsigned Status) {
  RouteResult &Result = Results[Item.Route->Name];
  const Duration Elapsed = Target.Events.now() - Item.Start;
  if (Status == 200 && Elapsed <= Item.Route->Objective) {
    ++Result.InTime;
    Result.Worth += Item.Route->Worth;
    return;
  }
  if (Status == 200) {
    ++Result.Late;
    Result.Worth += Item.Route->LateWorth;
    return;
  }
  Status == 503 ? ++Result.Refused : ++Result.Failed;
  if (Item.CameBack)
    ++Result.RefusedAgain;
}

} // namespace camphorpin::model
