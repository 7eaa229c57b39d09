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

/// \brief The execution state of a key.
enum class ClaimState : std::uint8_t {
  /// The copy is in flight to the mirror. The key has not run.
  Copying,
  /// The key is running here or may start at any moment.
  Running,
  /// The key ran to completion.
  Finished,
  /// The key may have run, here or in another process.
  Unknown,
};

/// \class ClaimEntry
/// \brief The state of one key.
struct ClaimEntry {
  /// The serial of the claim that this state belongs to. 56 bits do not
  /// overflow during the life of a process and keep the entry at 8 bytes.
  std::uint64_t Serial : 56 = 0;
  ClaimState State : 4 = ClaimState::Unknown;
  /// True if an answer is stored under the serial.
  bool HasAnswer : 1 = false;
};

static_assert(sizeof(ClaimEntry) == 8);

/// \class EntryPage
/// \brief A range of table entries in key order.
struct EntryPage {
  std::vector<TransferEntry> Entries;
  /// More entries follow the last one.
  bool More = false;
};

/// \class ClaimTable
/// \brief Keys that must not run again, ordered by creation time.
///
/// The number of keys is bounded; keys are removed only by expiry or release.
/// The keys are stored in sorted chunks, which takes less than half of the
/// memory of a tree with one node per key.
class ClaimTable {
public:
  using Filter = std::function<bool(const RequestKey &)>;

  explicit ClaimTable(std::size_t MaxKeys) : MaxKeys(MaxKeys) {}

  /// \returns the entry of \p Key, or null. The pointer is valid until a key is
  /// added or removed.
  ClaimEntry *find(const RequestKey &Key);
  const ClaimEntry *find(const RequestKey &Key) const;

  bool full() const { return Count >= MaxKeys; }
  std::size_t size() const { return Count; }

  /// Adds or replaces the entry of \p Key.
  void put(const RequestKey &Key, const ClaimEntry &Entry);

  /// Adds the entries of absent keys and replaces those in state Copying, which
  /// have not run here. The size limit does not apply, because a key that ran
  /// in another process must not be lost.
  void merge(std::span<const TransferEntry> Added);

  void erase(const RequestKey &Key);

  /// Removes the keys that were created before \p Created.
  void expireBefore(Instant Created);

  /// \returns the latest time passed to expireBefore(). A key that was created
  /// earlier may have been removed.
  Instant expiryWatermark() const { return ExpiryWatermark; }

  /// \returns up to \p Limit keys greater than \p After for which \p Wanted
  /// returns true. TransferEntry::Finished is set only for keys in state
  /// Finished; the outcome of all others counts as unknown.
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
  /// \returns the chunk into which \p Key is to be inserted; it is not full.
  Chunk &chunkFor(const RequestKey &Key);

  /// The map key is a lower bound of the keys in the chunk.
  std::map<RequestKey, Chunk> Chunks;
  std::size_t Count = 0;
  std::size_t MaxKeys;
  /// See expiryWatermark().
  Instant ExpiryWatermark;
};

} // namespace camphorpin

#endif
