#ifndef CAMPHORPIN_SRC_CLAIMS_CLAIMTABLE_H
#define CAMPHORPIN_SRC_CLAIMS_CLAIMTABLE_H

#include "camphorpin/Core.h"
#include "camphorpin/src/Claims/ClaimMessages.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <vector>

namespace camphorpin {

/// \brief What is known about a key.
enum class ClaimState : std::uint8_t {
  /// Its copy is on the way to the mirror. The key has not run.
  Copying,
  /// It may run at any moment or is running here.
  Running,
  /// It ran to its end.
  Finished,
  /// It may have run, here or elsewhere.
  Unknown,
};

/// \class ClaimEntry
/// \brief The state of one key.
struct ClaimEntry {
  /// The claim that this state belongs to. 56 bits last longer than any
  /// process, and the entry then takes 8 bytes.
  std::uint64_t Serial : 56 = 0;
  ClaimState State : 4 = ClaimState::Unknown;
  /// There is a stored answer under the serial of the claim.
  bool HasAnswer : 1 = false;
};

static_assert(sizeof(ClaimEntry) == 8);

/// \class EntryPage
/// \brief A part of a table in key order.
struct EntryPage {
  std::vector<TransferEntry> Entries;
  bool More = false;
};

/// \class ClaimTable
/// \brief Keys that must not run again, in the order of their creation.
///
/// Bounded by the number of keys; keys leave the table only by expiry or
/// release. Keys are kept in sorted chunks, which takes less than half of the
/// memory of a tree with one node for each key.
class ClaimTable {
public:
  using Filter = std::function<bool(const RequestKey &)>;

  explicit ClaimTable(std::size_t MaxKeys) : MaxKeys(MaxKeys) {}

  /// \returns the entry, or null. It stays valid until a key is added or
  /// removed.
  ClaimEntry *find(const RequestKey &Key);
  const ClaimEntry *find(const RequestKey &Key) const;

  bool full() const { return Count >= MaxKeys; }
  std::size_t size() const { return Count; }

  /// Adds or replaces the entry of \p Key.
  void put(const RequestKey &Key, const ClaimEntry &Entry);

  /// Adds the entries that are absent. They may exceed the number of keys,
  /// because a key that ran elsewhere must not be forgotten.
  void merge(std::span<const TransferEntry> Added);

  void erase(const RequestKey &Key);

  /// Removes the keys that were created before \p Created.
  void expireBefore(Instant Created);

  /// \returns the latest time that was given to expireBefore(). A key that was
  /// created before it may have been forgotten.
  Instant expiredBefore() const { return Expired; }

  /// \returns up to \p Limit keys greater than \p After for which \p Wanted is
  /// true. A key in state Copying is reported as unknown.
  EntryPage page(const RequestKey &After, std::size_t Limit,
                 const Filter &Wanted) const;

private:
  struct Item {
    RequestKey Key;
    ClaimEntry Entry;
  };
  using Chunk = std::vector<Item>;

  static Chunk::const_iterator lowerBound(const Chunk &Searched,
                                          const RequestKey &Key);
  void insert(const RequestKey &Key, const ClaimEntry &Entry);
  Chunk &addChunk(const RequestKey &First);
  /// \returns a chunk with room in which \p Key has its place.
  Chunk &chunkFor(const RequestKey &Key);

  /// By a key that is not greater than any in the chunk.
  std::map<RequestKey, Chunk> Chunks;
  std::size_t Count = 0;
  std::size_t MaxKeys;
  Instant Expired;
};

} // namespace camphorpin

#endif
