#ifndef CAMPHORPIN_SRC_ADMISSION_RANKSHARES_H
#define CAMPHORPIN_SRC_ADMISSION_RANKSHARES_H

#include "camphorpin/Policy.h"

#include <array>
#include <cstddef>

namespace camphorpin::detail {

/// \class RankShares
/// \brief Floors and caps of the ranks as shares of the concurrency limit.
///
/// A floor is often less than one slot (2% of 20 slots). Therefore it is
/// accounted as a credit in slot time: a rank earns floor x limit per unit of
/// time, up to one start, and a start from the floor costs the mean service
/// time.
class RankShares {
public:
  explicit RankShares(const MeshPolicy &Mesh) { setPolicy(Mesh); }

  void setPolicy(const MeshPolicy &Mesh);

  std::size_t ranks() const { return Count; }

  /// Credits all ranks for the time since the last call.
  void advance(std::uint32_t Limit, Instant Now);

  /// \returns true if the floor of the rank entitles it to the next slot.
  bool belowFloor(std::size_t RankIndex, std::size_t Running,
                  std::uint32_t Limit) const;

  /// \returns true if the rank may take another slot.
  bool belowCap(std::size_t RankIndex, std::size_t Running,
                std::uint32_t Limit) const;

  /// Charges the floor of the rank for a call that was started from it.
  void charge(std::size_t RankIndex, Duration ServiceTime);

  /// \returns the floor in slots; not rounded.
  double floorSlots(std::size_t RankIndex, std::uint32_t Limit) const {
    return Ranks[RankIndex].Floor * Limit;
  }

  /// \returns the cap in slots, at least 1.
  double capSlots(std::size_t RankIndex, std::uint32_t Limit) const;

  /// \returns the number of queue places reserved for the rank.
  std::size_t floorPlaces(std::size_t RankIndex,
                          std::uint32_t QueueLimit) const;

private:
  struct Share {
    double Floor = 0;
    double Cap = 1;
    /// Credit in ms of slot time, capped at LastCharge. A rank may start a call
    /// from its floor while the credit is not negative. The cap is above 0, so
    /// that credit earned between two arrivals is not lost.
    double Credit = 0;
    /// Slot time in ms of the last start from the floor.
    double LastCharge = 0;
  };

  std::array<Share, MaxRanks> Ranks;
  std::size_t Count = 1;
  Instant Updated;
};

} // namespace camphorpin::detail

#endif
