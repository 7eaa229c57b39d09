#include "camphorpin/src/Gateway/NodeRetryBudget.h"

#include <algorithm>

namespace camphorpin {

namespace {

/// Part of the budget that is used. The rest is for what other nodes count
/// differently: requests on their way, nodes that have just started or gone.
constexpr double UsableFraction = 0.6;
/// What a repeated run that calls other services takes from the budget of its
/// own: its calls, several on each level below, count as repeats there.
constexpr double NestedCallsCost = 3;

} // namespace

std::int64_t NodeRetryBudget::sliceNumber(Instant Now) const {
  const Duration Length = Settings.Window / static_cast<std::int64_t>(Slices);
  return Now.sinceOrigin().ticks() / std::max<std::int64_t>(1, Length.ticks());
}

NodeRetryBudget::Slice &NodeRetryBudget::current(Ring &Counts,
                                                 Instant Now) const {
  const std::int64_t Number = sliceNumber(Now);
  Slice &Result = Counts[static_cast<std::size_t>(Number) % Slices];
  if (Result.Number != Number)
    Result = Slice{Number, 0, 0};
  return Result;
}

void NodeRetryBudget::onRequest(const std::string &Service, Instant Now) {
  ++current(Services[Service], Now).Requests;
}

bool NodeRetryBudget::tryRetry(const std::string &Service, bool CallsOthers,
                               std::size_t Nodes, Instant Now) {
  const double Cost = CallsOthers ? NestedCallsCost : 1;
  Ring &Counts = Services[Service];
  Slice &Latest = current(Counts, Now);
  const std::int64_t Oldest =
      Latest.Number - static_cast<std::int64_t>(Slices) + 1;
  double Requests = 0;
  double Retries = 0;
  for (const Slice &Entry : Counts) {
    if (Entry.Number < Oldest)
      continue;
    Requests += Entry.Requests;
    Retries += Entry.Retries;
  }
  const double Share =
      Settings.Slack / static_cast<double>(std::max<std::size_t>(1, Nodes));
  if (Retries + Cost > UsableFraction * (Settings.Ratio * Requests + Share))
    return false;
  Latest.Retries += Cost;
  return true;
}

} // namespace camphorpin
