#ifndef CAMPHORPIN_SRC_POLICYBUILDER_RANKTABLE_H
#define CAMPHORPIN_SRC_POLICYBUILDER_RANKTABLE_H

#include "camphorpin/Core.h"
#include "camphorpin/src/Policy/PolicyLimits.h"
#include "camphorpin/src/PolicyBuilder/NameLiteral.h"
#include "camphorpin/src/PolicyBuilder/Share.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string_view>

namespace camphorpin {

/// \class RankSpec
/// \brief The name of a rank and its shares of the concurrency limit.
class RankSpec {
public:
  /// \param Floor share that is reserved for the rank while it has requests.
  /// \param Cap largest share, at least \p Floor and above 0.
  consteval RankSpec(NameLiteral Name, Share Floor, Share Cap = Share(1))
      : RankName(Name), RankFloor(Floor), RankCap(Cap) {
    if (Cap.value() <= 0 || Floor.value() > Cap.value())
      throw std::out_of_range("a floor is at most the cap of its rank");
  }

  constexpr std::string_view name() const { return RankName.view(); }
  constexpr double floor() const { return RankFloor.value(); }
  constexpr double cap() const { return RankCap.value(); }

private:
  NameLiteral RankName;
  Share RankFloor;
  Share RankCap;
};

/// \class RankTable
/// \brief The ranks of a mesh, the most urgent first. Checked at compile time:
/// 1 to MaxRanks ranks, distinct names, and floors that sum to at most 1.
template <std::size_t Count> class RankTable {
public:
  template <class... Specs>
  consteval explicit RankTable(Specs... Values) : Ranks{Values...} {
    static_assert(Count >= 1 && Count <= MaxRanks, "a mesh has 1 to 8 ranks");
    double FloorSum = 0;
    for (std::size_t Index = 0; Index < Count; ++Index) {
      FloorSum += Ranks[Index].floor();
      if (indexOf(Ranks[Index].name()) != Index)
        throw std::out_of_range("two ranks have the same name");
    }
    if (FloorSum > 1 + detail::ShareTolerance)
      throw std::out_of_range("the floors sum to more than 1");
  }

  /// \returns the rank with this name. An unknown name does not compile.
  consteval Rank rank(std::string_view Name) const {
    const std::size_t Index = indexOf(Name);
    if (Index == Count)
      throw std::out_of_range("the table has no such rank");
    return Rank(static_cast<std::uint8_t>(Index));
  }

  constexpr const std::array<RankSpec, Count> &specs() const { return Ranks; }

private:
  constexpr std::size_t indexOf(std::string_view Name) const {
    for (std::size_t Index = 0; Index < Count; ++Index)
      if (Ranks[Index].name() == Name)
        return Index;
    return Count;
  }

  std::array<RankSpec, Count> Ranks;
};

template <class... Specs>
RankTable(Specs... Values) -> RankTable<sizeof...(Specs)>;

} // namespace camphorpin

#endif
