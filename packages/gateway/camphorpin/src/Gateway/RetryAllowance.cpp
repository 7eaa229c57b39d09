#include "camphorpin/src/Gateway/RetryAllowance.h"

#include <algorithm>

namespace camphorpin {

namespace {

/// Part of the budget that is used. The calls of a repeated run count as
/// repeats at the called services, up to three times as many as the node's own
/// repeats.
constexpr double UsedPart = 0.25;

} // namespace

std::int64_t RetryAllowance::sliceNumber(Instant Now) const {
  const Duration Length = Settings.Window / static_cast<std::int64_t>(Slices);
  return Now.sinceOrigin().ticks() / std::max<std::int64_t>(1, Length.ticks());
}

RetryAllowance::Slice &RetryAllowance::current(Ring &Counts,
                                               Instant Now) const {
  const std::int64_t Number = sliceNumber(Now);
  Slice &Result = Counts[static_cast<std::size_t>(Number) % Slices];
  if (Result.Number != Number)
    Result = Slice{Number, 0, 0};
  return Result;
}

void RetryAllowance::onRequest(const std::string &Service, Instant Now) {
  ++current(Services[Service], Now).Requests;
}

bool RetryAllowance::tryRetry(const std::string &Service, std::size_t Nodes,
                              Instant Now) {
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
  if (Retries + 1 > UsedPart * (Settings.Ratio * Requests + Share))
    return false;
  ++Latest.Retries;
  return true;
}

} // namespace camphorpin
