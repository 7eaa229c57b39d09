#include "ModelWorker.h"

#include <cmath>
#include <memory>
#include <numbers>

namespace camphorpin::model {

namespace {

/// What a backend server needs to refuse a request.
constexpr Duration ShedTime = Duration::millis(1);

/// \returns a sample of the standard normal distribution.
double normal(Random &Source) {
  const double Radius = std::sqrt(-2 * std::log(1 - Source.uniform01()));
  return Radius * std::cos(2 * std::numbers::pi * Source.uniform01());
}

} // namespace

Duration ModelWorker::sampleWork(const RouteSpec &Route) {
  const double Spread = Route.WorkSpread;
  const double Factor = std::exp(Spread * normal(Source) - Spread * Spread / 2);
  const double Full = Service.FullFrom * Service.Slots;
  const double Crowded =
      static_cast<double>(Runs.size()) >= Full ? Service.SlowFactor : 1;
  return Duration::fromMillis(Route.WorkMillis * Factor * Crowded * Slowness /
                              Speed);
}

std::uint64_t ModelWorker::run(const RouteSpec &Route, Duration TimeLeft,
                               Done Handler) {
  const std::uint64_t Id = NextRun++;
  if (Source.uniform01() < ShedPart) {
    Events.after(ShedTime, [Handler = std::move(Handler)] { Handler(503); });
    return Id;
  }
  const Duration Work = sampleWork(Route);
  Run &Item = Runs[Id];
  Item.Route = &Route;
  Item.Start = Events.now();
  Item.Deadline = Events.now() + TimeLeft;
  Item.Handler = std::move(Handler);
  Item.HalfOfWork = Work / 2;
  Events.after(TimeLeft, [this, Id] { end(Id, 504); });
  Events.after(Item.HalfOfWork, [this, Id] { beginRule(Id); });
  return Id;
}

void ModelWorker::beginRule(std::uint64_t Id) {
  const auto Found = Runs.find(Id);
  if (Found == Runs.end())
    return;
  Run &Item = Found->second;
  if (Item.Rule == Item.Route->Calls.size()) {
    Events.after(Item.HalfOfWork, [this, Id] { end(Id, 200); });
    return;
  }
  Item.ToStart = Item.Route->Calls[Item.Rule].Times;
  startCalls(Id);
}

void ModelWorker::startCalls(std::uint64_t Id) {
  Run &Item = Runs.at(Id);
  const CallSpec &Rule = Item.Route->Calls[Item.Rule];
  const RouteSpec &Target = System.route(Rule.Route);
  const std::size_t Limit =
      Rule.Together ? static_cast<std::size_t>(Rule.Times) : 1;
  while (Item.ToStart > 0 && Item.Open.size() < Limit) {
    --Item.ToStart;
    const auto Call = std::make_shared<std::uint64_t>(0);
    *Call = Calls->call(
        Target, Item.Deadline - Events.now(),
        [this, Id, Call](unsigned Status) { onCallEnd(Id, *Call, Status); });
    Item.Open.insert(*Call);
  }
}

void ModelWorker::onCallEnd(std::uint64_t Id, std::uint64_t Call,
                            unsigned Status) {
  const auto Found = Runs.find(Id);
  if (Found == Runs.end())
    return;
  Run &Item = Found->second;
  Item.Open.erase(Call);
  if (Status != 200) {
    end(Id, 500);
    return;
  }
  if (Item.ToStart > 0) {
    startCalls(Id);
  } else if (Item.Open.empty()) {
    ++Item.Rule;
    beginRule(Id);
  }
}

void ModelWorker::cancel(std::uint64_t Id) {
  const auto Found = Runs.find(Id);
  if (Found == Runs.end())
    return;
  Found->second.Handler = nullptr;
  end(Id, 0);
}

void ModelWorker::end(std::uint64_t Id, unsigned Status) {
  const auto Found = Runs.find(Id);
  if (Found == Runs.end())
    return;
  const Run Item = std::move(Found->second);
  Runs.erase(Found);
  Busy += Events.now() - Item.Start;
  for (const std::uint64_t Call : Item.Open)
    Calls->cancel(Call);
  if (Item.Handler)
    Item.Handler(Status);
}

} // namespace camphorpin::model
