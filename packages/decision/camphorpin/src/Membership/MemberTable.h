#ifndef CAMPHORPIN_SRC_MEMBERSHIP_MEMBERTABLE_H
#define CAMPHORPIN_SRC_MEMBERSHIP_MEMBERTABLE_H

#include "camphorpin/src/Membership/MemberRecord.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace camphorpin {

/// \class MemberTable
/// \brief One record per address, with indexes by service and by bucket.
///
/// Memory: about 0.3 KB for each member. Dead and left members are kept as
/// tombstones until purge() removes them.
class MemberTable {
public:
  /// Number of buckets that two nodes compare. At 7,100 members a bucket holds
  /// about 28, which fill two datagrams.
  static constexpr std::size_t BucketCount = 256;

  /// Largest number of records. Above twice the nodes of the largest fleet that
  /// docs/CAPACITY.md plans for.
  static constexpr std::size_t MaxRecords = 16384;

  MemberTable();

  /// Stores \p Record if it supersedes the stored one. A full table takes no
  /// further address: whoever speaks the nodes' protocol is believed, but must
  /// not fill the memory.
  /// \returns true if the table changed.
  bool merge(const MemberRecord &Record, Instant Now);

  /// Applies an event of charts/member.json to the member at \p Address.
  /// \returns true if its state changed.
  bool apply(HostAddress Address, std::string_view Event, Instant Now);

  /// Marks all suspects in \p Zone as alive.
  /// \returns the number of changed members.
  std::size_t clearSuspicions(const ZoneName &Zone, Instant Now);

  /// \returns the number of suspects in \p Zone.
  std::size_t suspectsIn(const ZoneName &Zone) const;

  /// \returns the record at \p Address, or null.
  const MemberRecord *find(HostAddress Address) const;

  /// \returns the time of the last change of the record at \p Address.
  /// \pre the table has the address.
  Instant changedAt(HostAddress Address) const;

  /// \returns true if the process has provably ended: a later incarnation runs
  /// at its address, or it announced its exit.
  bool isProvenEnded(const ProcessId &Process) const;

  /// \returns the addresses of all present members of a service.
  std::vector<HostAddress> membersOf(const ServiceName &Service) const;

  /// \returns the addresses of all members, tombstones included.
  std::vector<HostAddress> addresses() const;

  /// \returns the addresses of suspects.
  const std::unordered_set<HostAddress> &suspects() const { return Suspects; }

  /// \returns the number of present members in \p Zone.
  std::size_t presentIn(const ZoneName &Zone) const;

  /// \returns the number of present members.
  std::size_t presentCount() const { return PresentCount; }

  /// \returns the number of records, tombstones included.
  std::size_t size() const { return Entries.size(); }

  /// \returns a digest of the present members of one bucket. Suspicions are not
  /// included, because they differ between nodes for a short time.
  std::uint32_t digest(std::size_t Bucket) const { return Digests.at(Bucket); }

  /// \returns all records of one bucket, tombstones included.
  std::vector<MemberRecord> bucket(std::size_t Bucket) const;

  /// Removes dead, left and leaving members whose record last changed before
  /// \p Horizon.
  void purge(Instant Horizon);

private:
  struct Entry {
    MemberRecord Record;
    Instant ChangedAt;
  };

  static std::size_t bucketOf(HostAddress Address);
  void index(const MemberRecord &Record);
  void unindex(const MemberRecord &Record);
  void replace(Entry &Target, const MemberRecord &Record, Instant Now);

  StateChart Chart;
  std::unordered_map<HostAddress, Entry> Entries;
  std::unordered_map<ServiceName, std::unordered_set<HostAddress>> ByService;
  std::unordered_map<ZoneName, std::size_t> PresentByZone;
  std::array<std::unordered_set<HostAddress>, BucketCount> ByBucket;
  std::array<std::uint32_t, BucketCount> Digests{};
  std::unordered_set<HostAddress> Suspects;
  std::size_t PresentCount = 0;
};

} // namespace camphorpin

#endif
