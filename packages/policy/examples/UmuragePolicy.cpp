// Prints the policy of Umurage. It maximizes the goodput of complete orders:
// paid orders are finished first, and lookups have a small floor.
#include "camphorpin/PolicyBuilder.h"

using namespace camphorpin;

namespace {

constexpr RankTable Ranks(RankSpec("urgent", Share(0.02)),
                          RankSpec("normal", Share(0.02)),
                          RankSpec("lookup", Share(0.01), Share(0.8)));
constexpr Rank Urgent = Ranks.rank("urgent");
constexpr Rank Normal = Ranks.rank("normal");
constexpr Rank Lookup = Ranks.rank("lookup");

} // namespace

int main() {
  PolicyBuilder Builder(Ranks, {.MaxHops = 4});

  const ServiceRef Dispatch = Builder.service(
      "dispatch", {.Slots = 20, .Connections = 200, .QueueLimit = 40});
  const OperationRef Schedule = Builder.nonIdempotent(
      Dispatch, "schedule", Normal, Duration::millis(2000));
  Builder.idempotent(Dispatch, "track", Lookup, Duration::millis(1000));

  const ServiceRef Lots = Builder.service(
      "lots", {.Slots = 130, .Connections = 900, .QueueLimit = 260});
  const OperationRef Reserve =
      Builder.nonIdempotent(Lots, "reserve", Normal, Duration::millis(1000));
  const OperationRef Availability =
      Builder.idempotent(Lots, "availability", Lookup, Duration::millis(500));

  const ServiceRef Catalogue = Builder.service(
      "catalogue", {.Slots = 130, .Connections = 900, .QueueLimit = 260});
  Builder.idempotent(Catalogue, "search", Lookup, Duration::millis(1000),
                     {Availability});
  const OperationRef Item =
      Builder.idempotent(Catalogue, "item", Lookup, Duration::millis(500));

  const ServiceRef Orders = Builder.service(
      "orders", {.Slots = 100, .Connections = 700, .QueueLimit = 200});
  Builder.nonIdempotent(Orders, "place", Urgent, Duration::millis(3000),
                        {Item, Reserve});
  Builder.nonIdempotent(Orders, "pay", Urgent, Duration::millis(3000),
                        {Schedule});
  Builder.idempotent(Orders, "status", Lookup, Duration::millis(1000));

  return printPolicies(Builder.build());
}
