#include "camphorpin/src/Claims/ClaimTable.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace camphorpin {

namespace {

/// Maximum number of keys in a chunk. Larger chunks need fewer map nodes, but
/// an insertion moves more keys.
constexpr std::size_t ChunkKeys = 128;

/// Number of keys that stay in the lower chunk when a full chunk is split. Most
/// keys arrive within a few seconds of their creation, so the lower chunk will
/// receive few more.
constexpr std::size_t KeysAfterSplit = ChunkKeys * 7 / 8;

} // namespace

ClaimEntry *ClaimTable::find(const RequestKey &Key) {
  return const_cast<ClaimEntry *>(std::as_const(*this).find(Key));
}

const ClaimEntry *ClaimTable::find(const RequestKey &Key) const {
  auto Next = Chunks.upper_bound(Key);
  if (Next == Chunks.begin())
    return nullptr;
  const Chunk &Found = std::prev(Next)->second;
  const auto Position = lowerBound(Found, Key);
  return Position != Found.end() && Position->Key == Key ? &Position->Entry
                                                         : nullptr;
}

void ClaimTable::put(const RequestKey &Key, const ClaimEntry &Entry) {
  if (ClaimEntry *Present = find(Key))
    *Present = Entry;
  else
    insert(Key, Entry);
}

void ClaimTable::merge(std::span<const TransferEntry> Added) {
  for (const TransferEntry &Received : Added) {
    ClaimEntry Entry;
    Entry.State =
        Received.Finished ? ClaimState::Finished : ClaimState::Unknown;
    ClaimEntry *Present = find(Received.Key);
    // A key in state Copying has not started here and must not start now.
    if (Present == nullptr)
      insert(Received.Key, Entry);
    else if (Present->State == ClaimState::Copying)
      *Present = Entry;
  }
}

void ClaimTable::erase(const RequestKey &Key) {
  auto Next = Chunks.upper_bound(Key);
  if (Next == Chunks.begin())
    return;
  const auto ChunkPosition = std::prev(Next);
  Chunk &Found = ChunkPosition->second;
  const auto Position = lowerBound(Found, Key);
  if (Position == Found.end() || Position->Key != Key)
    return;
  Found.erase(Position);
  --Count;
  if (Found.empty())
    Chunks.erase(ChunkPosition);
}

void ClaimTable::expireBefore(Instant Created) {
  ExpiryWatermark = std::max(ExpiryWatermark, Created);
  // A UUIDv7 starts with its creation time, so key order is creation order.
  while (!Chunks.empty()) {
    Chunk &First = Chunks.begin()->second;
    const auto Kept = std::find_if(
        First.begin(), First.end(), [Created](const Item &Candidate) {
          return Candidate.Key.createdAt() >= Created;
        });
    Count -= static_cast<std::size_t>(Kept - First.begin());
    First.erase(First.begin(), Kept);
    if (!First.empty())
      return;
    Chunks.erase(Chunks.begin());
  }
}

EntryPage ClaimTable::page(const RequestKey &After, std::size_t Limit,
                           const Filter &Wanted) const {
  EntryPage Result;
  auto Position = Chunks.upper_bound(After);
  if (Position != Chunks.begin())
    --Position;
  for (; Position != Chunks.end(); ++Position)
    for (const Item &Candidate : Position->second) {
      if (Candidate.Key <= After || !Wanted(Candidate.Key))
        continue;
      if (Result.Entries.size() == Limit) {
        Result.More = true;
        return Result;
      }
      Result.Entries.push_back(
          {Candidate.Key, Candidate.Entry.State == ClaimState::Finished});
    }
  return Result;
}

ClaimTable::Chunk::const_iterator
ClaimTable::lowerBound(const Chunk &Searched, const RequestKey &Key) {
  return std::lower_bound(Searched.begin(), Searched.end(), Key,
                          [](const Item &Candidate, const RequestKey &Wanted) {
                            return Candidate.Key < Wanted;
                          });
}

void ClaimTable::insert(const RequestKey &Key, const ClaimEntry &Entry) {
  Chunk &Target = chunkFor(Key);
  Target.insert(lowerBound(Target, Key), Item{Key, Entry});
  ++Count;
}

ClaimTable::Chunk &ClaimTable::addChunk(const RequestKey &First) {
  Chunk &Added = Chunks[First];
  Added.reserve(ChunkKeys);
  return Added;
}

ClaimTable::Chunk &ClaimTable::chunkFor(const RequestKey &Key) {
  if (Chunks.empty())
    return addChunk(Key);
  auto Next = Chunks.upper_bound(Key);
  if (Next == Chunks.begin()) {
    auto Node = Chunks.extract(Next);
    Node.key() = Key;
    Next = std::next(Chunks.insert(std::move(Node)).position);
  }
  Chunk &Lower = std::prev(Next)->second;
  if (Lower.size() < ChunkKeys)
    return Lower;
  // Keys mostly arrive in ascending order, so the last chunk is not split.
  if (Next == Chunks.end() && Lower.back().Key < Key)
    return addChunk(Key);
  const auto Middle = Lower.begin() + KeysAfterSplit;
  Chunk &Upper = addChunk(Middle->Key);
  Upper.assign(Middle, Lower.end());
  Lower.erase(Middle, Lower.end());
  return Key < Upper.front().Key ? Lower : Upper;
}

} // namespace camphorpin
