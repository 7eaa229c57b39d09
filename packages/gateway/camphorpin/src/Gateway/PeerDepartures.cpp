#include "camphorpin/src/Gateway/PeerDepartures.h"

#include <algorithm>

namespace camphorpin {

namespace {

/// Departures kept per node, the latest ones.
constexpr std::size_t MaxPerNode = 8;
/// Ids of backend servers are shorter.
constexpr std::size_t MaxIdBytes = 256;
/// A server that has announced its departure ends sooner and sends no reports
/// after that.
constexpr Duration Retention = Duration::seconds(60);

} // namespace

void PeerDepartures::record(const DepartureNotice &Notice, Instant Now) {
  std::vector<Entry> &Known = Entries[Notice.Node];
  for (const BackendDeparture &Item : Notice.Departures) {
    const bool IsKnown =
        std::any_of(Known.begin(), Known.end(), [&Item](const Entry &Other) {
          return Other.Departure == Item;
        });
    if (!IsKnown && Item.Id.size() <= MaxIdBytes)
      Known.push_back({Item, Now});
  }
  if (Known.size() > MaxPerNode)
    Known.erase(Known.begin(), Known.end() - MaxPerNode);
}

std::vector<BackendDeparture> PeerDepartures::of(std::string_view Node,
                                                 Instant Now) const {
  std::vector<BackendDeparture> Result;
  const auto Found = Entries.find(Node);
  if (Found == Entries.end())
    return Result;
  for (const Entry &Item : Found->second)
    if (Now - Item.Announced < Retention)
      Result.push_back(Item.Departure);
  return Result;
}

void PeerDepartures::expire(Instant Now) {
  for (auto &[Node, Known] : Entries)
    std::erase_if(Known, [Now](const Entry &Item) {
      return Now - Item.Announced >= Retention;
    });
  std::erase_if(Entries, [](const auto &Item) { return Item.second.empty(); });
}

} // namespace camphorpin
