#include "camphorpin/src/Membership/TableSync.h"

#include <algorithm>

namespace camphorpin {

std::vector<std::uint32_t> TableSync::digests(const MemberTable &Table) {
  std::vector<std::uint32_t> Result(MemberTable::BucketCount);
  for (std::size_t Bucket = 0; Bucket < Result.size(); ++Bucket)
    Result[Bucket] = Table.digest(Bucket);
  return Result;
}

void TableSync::compare(const MemberTable &Table,
                        std::span<const std::uint32_t> Other) {
  if (Other.size() != MemberTable::BucketCount)
    return;
  PendingBuckets.clear();
  for (std::size_t Bucket = 0; Bucket < Other.size(); ++Bucket)
    if (Table.digest(Bucket) != Other[Bucket])
      PendingBuckets.push_back(static_cast<std::uint16_t>(Bucket));
}

std::vector<std::uint16_t> TableSync::takePendingBuckets() {
  const std::size_t Count = std::min(BucketsPerPull, PendingBuckets.size());
  const auto End = PendingBuckets.begin() + static_cast<std::ptrdiff_t>(Count);
  std::vector<std::uint16_t> Pull(PendingBuckets.begin(), End);
  PendingBuckets.erase(PendingBuckets.begin(), End);
  return Pull;
}

std::vector<std::vector<MemberRecord>>
TableSync::recordsOf(const MemberTable &Table,
                     std::span<const std::uint16_t> Buckets,
                     std::size_t Bytes) {
  std::vector<std::vector<MemberRecord>> Parts;
  std::size_t Remaining = 0;
  const std::size_t Served = std::min(Buckets.size(), BucketsPerPull);
  for (std::uint16_t Bucket : Buckets.first(Served)) {
    if (Bucket >= MemberTable::BucketCount)
      continue;
    for (const MemberRecord &Record : Table.bucket(Bucket)) {
      if (Parts.empty() || Record.encodedSize() > Remaining) {
        Parts.emplace_back();
        Remaining = Bytes;
      }
      Remaining -= std::min(Remaining, Record.encodedSize());
      Parts.back().push_back(Record);
    }
  }
  return Parts;
}

} // namespace camphorpin
