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
  /// The claim that this state belongs to.
  std::uint64_t Serial = 0;
  ClaimState State = ClaimState::Unknown;
  /// There is a stored answer under the serial of the claim.
  bool HasAnswer = false;
};

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
/// release.
class ClaimTable {
public:
  using Filter = std::function<bool(const RequestKey &)>;

  explicit ClaimTable(std::size_t MaxKeys) : MaxKeys(MaxKeys) {}

  ClaimEntry *find(const RequestKey &Key);
  const ClaimEntry *find(const RequestKey &Key) const;

  bool full() const { return Entries.size() >= MaxKeys; }
  std::size_t size() const { return Entries.size(); }

  /// Adds or replaces the entry of \p Key.
  void put(const RequestKey &Key, const ClaimEntry &Entry);

  /// Adds the entries that are absent. They may exceed the number of keys,
  /// because a key that ran elsewhere must not be forgotten.
  void merge(std::span<const TransferEntry> Added);

  void erase(const RequestKey &Key);

  /// Removes the keys that were created before \p Created.
  void expireBefore(Instant Created);

  /// \returns up to \p Limit keys greater than \p After for which \p Wanted is
  /// true. A key in state Copying is reported as unknown.
  EntryPage page(const RequestKey &After, std::size_t Limit,
                 const Filter &Wanted) const;

private:
  std::map<RequestKey, ClaimEntry> Entries;
  std::size_t MaxKeys;
};

} // namespace camphorpin

#endif
