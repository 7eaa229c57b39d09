#include "camphorpin/src/Admission/RankShares.h"

#include <algorithm>
#include <cassert>
#include <cmath>

using namespace camphorpin;
using namespace camphorpin::detail;

void RankShares::setPolicy(const MeshPolicy &Mesh) {
  assert(!Mesh.Ranks.empty() && Mesh.Ranks.size() <= MaxRanks &&
         "1 to MaxRanks ranks");
  Count = Mesh.Ranks.size();
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Ranks[Index].Floor = std::clamp(Mesh.Ranks[Index].Floor, 0.0, 1.0);
    Ranks[Index].Cap = std::clamp(Mesh.Ranks[Index].Cap, 0.0, 1.0);
  }
}

void RankShares::advance(std::uint32_t Limit, Instant Now) {
  const double SlotMillis = (Now - Updated).toMillis() * Limit;
  Updated = Now;
  for (Share &Entry : Ranks)
    Entry.Credit =
        std::min(Entry.LastCharge, Entry.Credit + Entry.Floor * SlotMillis);
}

bool RankShares::belowFloor(std::size_t RankIndex, std::size_t Running,
                            std::uint32_t Limit) const {
  const Share &Entry = Ranks[RankIndex];
  return Entry.Credit >= 0 &&
         static_cast<double>(Running) < floorSlots(RankIndex, Limit) &&
         belowCap(RankIndex, Running, Limit);
}

double RankShares::capSlots(std::size_t RankIndex, std::uint32_t Limit) const {
  return std::max(1.0, std::floor(Ranks[RankIndex].Cap * Limit));
}

bool RankShares::belowCap(std::size_t RankIndex, std::size_t Running,
                          std::uint32_t Limit) const {
  return static_cast<double>(Running) < capSlots(RankIndex, Limit);
}

void RankShares::charge(std::size_t RankIndex, Duration ServiceTime) {
  Ranks[RankIndex].LastCharge = ServiceTime.toMillis();
  Ranks[RankIndex].Credit -= Ranks[RankIndex].LastCharge;
}

std::size_t RankShares::floorPlaces(std::size_t RankIndex,
                                    std::uint32_t QueueLimit) const {
  return static_cast<std::size_t>(
      std::ceil(Ranks[RankIndex].Floor * QueueLimit));
}
