// Prints the policy of Ručička. Urgent needle orders have the highest priority.
// Lookups may be slow, so they have a low cap, but their floor is higher than
// at Umurage, because a needle order needs its calibration card.
#include "camphorpin/PolicyBuilder.h"

using namespace camphorpin;

namespace {

constexpr RankTable Ranks(RankSpec("urgent", Share(0)),
                          RankSpec("normal", Share(0.02)),
                          RankSpec("lookup", Share(0.05), Share(0.6)));
constexpr Rank Urgent = Ranks.rank("urgent");
constexpr Rank Normal = Ranks.rank("normal");
constexpr Rank Lookup = Ranks.rank("lookup");

} // namespace

int main() {
  PolicyBuilder Builder(Ranks, {.MaxHops = 4});

  const ServiceRef Kartoteka = Builder.service(
      "kartoteka", {.Slots = 40, .Connections = 350, .QueueLimit = 120});
  const OperationRef Card = Builder.idempotent(Kartoteka, "calibration-card",
                                               Lookup, Duration::millis(2000));
  const OperationRef Table = Builder.idempotent(Kartoteka, "pressure-table",
                                                Lookup, Duration::millis(2000));

  const ServiceRef Ucetni = Builder.service(
      "ucetni", {.Slots = 15, .Connections = 200, .QueueLimit = 30});
  const OperationRef Invoice =
      Builder.nonIdempotent(Ucetni, "invoice", Normal, Duration::millis(2500));

  const ServiceRef Jehla = Builder.service(
      "jehla", {.Slots = 50, .Connections = 400, .QueueLimit = 100});
  Builder.nonIdempotent(Jehla, "set-needle", Urgent, Duration::millis(4000),
                        {Card, Table});

  const ServiceRef Dilna = Builder.service(
      "dilna", {.Slots = 40, .Connections = 350, .QueueLimit = 80});
  Builder.nonIdempotent(Dilna, "book-refit", Normal, Duration::millis(3000),
                        {Card, Invoice});

  return printPolicies(Builder.build());
}
