#ifndef CAMPHORPIN_SRC_ADMISSION_CALLERTABLE_H
#define CAMPHORPIN_SRC_ADMISSION_CALLERTABLE_H

#include "camphorpin/Policy.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace camphorpin::detail {

/// \class CallerTable
/// \brief Assigns numbers to the callers that have calls queued or running.
///
/// At most DedicatedCount callers have their own number. Further callers share
/// SharedCount numbers by hash, each with the weight of one caller, so that a
/// client that invents caller names gets at most SharedCount shares.
class CallerTable {
public:
  static constexpr std::size_t DedicatedCount = 240;
  static constexpr std::size_t SharedCount = 16;
  static constexpr std::size_t Size = DedicatedCount + SharedCount;

  CallerTable();

  /// Adopts the weights of callers. A caller that is not listed weighs 1.
  void setShares(const std::map<CallerName, std::uint32_t> &Shares);

  /// Counts one more call of the caller.
  /// \returns its number, below Size.
  std::uint16_t acquire(std::string_view Name);

  /// Removes one call from the caller's count. A dedicated number whose count
  /// is zero may be reassigned to a new caller.
  void release(std::uint16_t Number);

  /// \returns the weight of the caller, at least 1.
  double weight(std::uint16_t Number) const { return Callers[Number].Weight; }

private:
  struct TextHash {
    using is_transparent = void; // NOLINT(readability-identifier-naming)
    std::size_t operator()(std::string_view Text) const {
      return std::hash<std::string_view>()(Text);
    }
  };
  template <class Value>
  using TextMap =
      std::unordered_map<std::string, Value, TextHash, std::equal_to<>>;

  struct Caller {
    std::string Name;
    double Weight = 1;
    std::size_t Calls = 0;
    bool OnFreeList = false;
  };

  std::uint16_t assign(std::string_view Name);
  double weightOf(std::string_view Name) const;

  TextMap<std::uint16_t> Numbers;
  TextMap<double> Weights;
  std::vector<Caller> Callers;
  /// Numbers that had no calls when they were added, each at most once.
  std::vector<std::uint16_t> FreeList;
};

} // namespace camphorpin::detail

#endif
