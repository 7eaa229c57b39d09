#ifndef CAMPHORPIN_SRC_CORE_RANK_H
#define CAMPHORPIN_SRC_CORE_RANK_H

#include <compare>
#include <cstddef>
#include <cstdint>

namespace camphorpin {

/// \brief The largest number of ranks that a policy may define.
inline constexpr std::size_t MaxRanks = 8;

/// \class Rank
/// \brief The priority class of a request. Rank 0 is the most urgent.
class Rank {
public:
  constexpr Rank() = default;
  /// \param Index below MaxRanks.
  constexpr explicit Rank(std::uint8_t Index) : Index(Index) {}

  constexpr std::uint8_t index() const { return Index; }

  /// \returns true if this rank is served before \p Other.
  constexpr bool moreUrgentThan(Rank Other) const {
    return Index < Other.Index;
  }

  constexpr auto operator<=>(const Rank &) const = default;

private:
  std::uint8_t Index = 0;
};

} // namespace camphorpin

#endif
