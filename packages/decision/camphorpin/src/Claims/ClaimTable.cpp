#include "camphorpin/src/Claims/ClaimTable.h"

namespace camphorpin {

ClaimEntry *ClaimTable::find(const RequestKey &Key) {
  const auto Found = Entries.find(Key);
  return Found != Entries.end() ? &Found->second : nullptr;
}

const ClaimEntry *ClaimTable::find(const RequestKey &Key) const {
  const auto Found = Entries.find(Key);
  return Found != Entries.end() ? &Found->second : nullptr;
}

void ClaimTable::put(const RequestKey &Key, const ClaimEntry &Entry) {
  Entries[Key] = Entry;
}

void ClaimTable::merge(std::span<const TransferEntry> Added) {
  for (const TransferEntry &Value : Added) {
    ClaimEntry Entry;
    Entry.State = Value.Finished ? ClaimState::Finished : ClaimState::Unknown;
    const auto [Position, IsNew] = Entries.try_emplace(Value.Key, Entry);
    // A home that has not started the key must not start it now.
    if (!IsNew && Position->second.State == ClaimState::Copying)
      Position->second = Entry;
  }
}

void ClaimTable::erase(const RequestKey &Key) { Entries.erase(Key); }

void ClaimTable::expireBefore(Instant Created) {
  // A UUIDv7 starts with its creation time, so key order is creation order.
  while (!Entries.empty() && Entries.begin()->first.createdAt() < Created)
    Entries.erase(Entries.begin());
}

EntryPage ClaimTable::page(const RequestKey &After, std::size_t Limit,
                           const Filter &Wanted) const {
  EntryPage Result;
  for (auto Position = Entries.upper_bound(After); Position != Entries.end();
       ++Position) {
    if (!Wanted(Position->first))
      continue;
    if (Result.Entries.size() == Limit) {
      Result.More = true;
      break;
    }
    Result.Entries.push_back(
        {Position->first, Position->second.State == ClaimState::Finished});
  }
  return Result;
}

} // namespace camphorpin
