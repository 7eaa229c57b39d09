#include "camphorpin/src/Gateway/NodeRetryBudget.h"

#include <algorithm>

namespace camphorpin {

namespace {

/// Fraction of the node's share that may be used. The rest is a margin for
/// nodes that count differently: requests in flight, and nodes that have just
/// joined or left.
constexpr double UsableFraction = 0.6;
/// Budget consumed by the retry of a request that makes nested calls. Its
/// calls, several per level of the call graph, count as retries at the services
/// below.
constexpr double NestedCallsCost = 6;

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

bool NodeRetryBudget::tryRetry(const std::string &Service,
                               bool MakesNestedCalls, std::size_t Nodes,
                               Instant Now) {
  const double Cost = MakesNestedCalls ? NestedCallsCost : 1;
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
