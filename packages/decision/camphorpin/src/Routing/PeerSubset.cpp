#include "camphorpin/src/Routing/PeerSubset.h"

#include <algorithm>
#include <cstdint>

namespace camphorpin {

namespace {

std::uint64_t score(const MemberRecord &Self, const MemberRecord &Member) {
  return stableHash(ProcessId{Self.Process.Address, 0}.stableHash(),
                    ProcessId{Member.Process.Address, 0}.stableHash());
}

void sortByScore(const MemberRecord &Self, std::vector<MemberRecord> &Members) {
  std::sort(Members.begin(), Members.end(),
            [&Self](const MemberRecord &Left, const MemberRecord &Right) {
              return score(Self, Left) > score(Self, Right);
            });
}

} // namespace

std::vector<MemberRecord>
choosePeerSubset(const MemberRecord &Self,
                 std::span<const MemberRecord> Members) {
  std::vector<MemberRecord> SameZone;
  std::vector<MemberRecord> OtherZones;
  for (const MemberRecord &Member : Members)
    (Member.Zone == Self.Zone ? SameZone : OtherZones).push_back(Member);
  sortByScore(Self, SameZone);
  sortByScore(Self, OtherZones);
  const std::size_t Reserved =
      std::min(ReservedForOtherZones, OtherZones.size());
  SameZone.resize(std::min(SameZone.size(), MaxSubsetSize - Reserved));
  OtherZones.resize(
      std::min(OtherZones.size(), MaxSubsetSize - SameZone.size()));
  SameZone.insert(SameZone.end(), OtherZones.begin(), OtherZones.end());
  return SameZone;
}

} // namespace camphorpin
