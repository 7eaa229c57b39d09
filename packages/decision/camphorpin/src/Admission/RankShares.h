#ifndef CAMPHORPIN_SRC_ADMISSION_RANKSHARES_H
#define CAMPHORPIN_SRC_ADMISSION_RANKSHARES_H

#include "camphorpin/Policy.h"

#include <array>
#include <cstddef>

namespace camphorpin::detail {

/// \class RankShares
/// \brief Floors and caps of the ranks as shares of the concurrency limit.
///
/// A floor is often less than one slot (2% of 20 slots). Therefore it is kept
/// as a credit in slot time: a rank earns floor x limit per unit of time, up to
/// one start, and a start out of the floor costs the mean service time.
class RankShares {
public:
  explicit RankShares(const MeshPolicy &Mesh) { setPolicy(Mesh); }

  void setPolicy(const MeshPolicy &Mesh);

  std::size_t ranks() const { return Count; }

  /// Credits all ranks for the time since the last call.
  void advance(std::uint32_t Limit, Instant Now);

  /// \returns true if the rank has a claim to the next slot out of its floor.
  bool belowFloor(std::size_t RankIndex, std::size_t Running,
                  std::uint32_t Limit) const;

  /// \returns true if the rank may take another slot.
  bool belowCap(std::size_t RankIndex, std::size_t Running,
                std::uint32_t Limit) const;

  /// A call of the rank was started out of its floor.
  void charge(std::size_t RankIndex, Duration ServiceTime);

  /// \returns the slots that the floor amounts to, with a fraction.
  double floorSlots(std::size_t RankIndex, std::uint32_t Limit) const {
    return Ranks[RankIndex].Floor * Limit;
  }

  /// \returns the slots that the cap amounts to, at least 1.
  double capSlots(std::size_t RankIndex, std::uint32_t Limit) const;

  /// \returns the queue places that are kept for the rank.
  std::size_t floorPlaces(std::size_t RankIndex,
                          std::uint32_t QueueLimit) const;

private:
  struct Share {
    double Floor = 0;
    double Cap = 1;
    /// Slot time in ms, at most LastCharge; 0 allows a start. Without the
    /// surplus a rank loses what it earns between two arrivals.
    double Credit = 0;
    double LastCharge = 0;
  };

  std::array<Share, MaxRanks> Ranks;
  std::size_t Count = 1;
  Instant Updated;
};

} // namespace camphorpin::detail

#endif
