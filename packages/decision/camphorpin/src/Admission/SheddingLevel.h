#ifndef CAMPHORPIN_SRC_ADMISSION_SHEDDINGLEVEL_H
#define CAMPHORPIN_SRC_ADMISSION_SHEDDINGLEVEL_H

#include "camphorpin/Core.h"

#include <array>
#include <cstddef>

namespace camphorpin::detail {

/// \class SheddingLevel
/// \brief The least urgent rank that a backend server accepts, with hysteresis.
///
/// The level becomes one rank more urgent when calls of accepted ranks were
/// refused for lack of capacity in two windows in a row. It becomes one rank
/// less urgent after a second without such refusals and with free capacity.
/// The most urgent rank is always accepted.
class SheddingLevel {
public:
  explicit SheddingLevel(std::size_t Ranks);

  void setRanks(std::size_t Ranks);
  void onOffered(Rank CallRank) { ++Offered[CallRank.index()]; }
  /// A call was refused for lack of capacity.
  void onRefused(Rank CallRank) { ++Refused[CallRank.index()]; }

  /// \param CallsWaiting true if calls wait for a slot now.
  void tick(bool CallsWaiting, Instant Now);

  Rank value() const { return Level; }

private:
  bool isOverloaded() const;

  std::array<std::size_t, MaxRanks> Offered{};
  std::array<std::size_t, MaxRanks> Refused{};
  Rank LeastUrgent;
  Rank Level;
  std::size_t OverloadedWindows = 0;
  std::size_t UncongestedWindows = 0;
  bool HadFreeCapacity = false;
  Instant WindowEnd;
};

} // namespace camphorpin::detail

#endif
