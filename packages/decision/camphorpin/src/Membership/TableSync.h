#ifndef CAMPHORPIN_SRC_MEMBERSHIP_TABLESYNC_H
#define CAMPHORPIN_SRC_MEMBERSHIP_TABLESYNC_H

#include "camphorpin/src/Membership/GossipMessage.h"
#include "camphorpin/src/Membership/MemberTable.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <vector>

namespace camphorpin {

/// \class TableSync
/// \brief Anti-entropy between member tables: compares them bucket by bucket
/// and limits the rate of pulls.
///
/// Deltas are sent a bounded number of times and can be lost; the comparison
/// restores what was missed. A joining node gets the whole table the same way.
class TableSync {
public:
  /// Buckets in one pull: about 10 KB of replies at 7,100 members.
  static constexpr std::size_t BucketsPerPull = 8;

  /// \returns the digests of \p Table.
  static std::vector<std::uint32_t> digests(const MemberTable &Table);

  /// Compares \p Table with the digests of another node and queues the buckets
  /// that differ. A list of the wrong length is ignored.
  void compare(const MemberTable &Table, std::span<const std::uint32_t> Other);

  /// \returns the next buckets to pull, none if there is nothing to pull.
  std::vector<std::uint16_t> takePendingBuckets();

  /// \returns the records of \p Buckets, split so that each part has at most
  /// \p Bytes bytes of encoded records.
  static std::vector<std::vector<MemberRecord>>
  recordsOf(const MemberTable &Table, std::span<const std::uint16_t> Buckets,
            std::size_t Bytes);

private:
  std::deque<std::uint16_t> PendingBuckets;
};

} // namespace camphorpin

#endif
