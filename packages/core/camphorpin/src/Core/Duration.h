#ifndef CAMPHORPIN_SRC_CORE_DURATION_H
#define CAMPHORPIN_SRC_CORE_DURATION_H

#include <compare>
#include <cstdint>
#include <limits>

namespace camphorpin {

/// \class Duration
/// \brief A signed duration with a resolution of one microsecond.
///
/// Whole milliseconds are too coarse: the latency that a node adds to a call is
/// a fraction of a millisecond.
class Duration {
public:
  constexpr Duration() = default;

  /// \param Value whole milliseconds.
  static constexpr Duration millis(std::int64_t Value) {
    return Duration(Value * TicksPerMilli);
  }

  /// \param Value whole seconds.
  static constexpr Duration seconds(std::int64_t Value) {
    return millis(Value * 1000);
  }

  /// \param Value milliseconds, with fractions. Must not be NaN; values that
  /// can't be represented are replaced by the nearest one that can.
  static constexpr Duration fromMillis(double Value) {
    return Duration(ticksOf(Value * TicksPerMilli));
  }

  /// \param Value microseconds.
  static constexpr Duration ticks(std::int64_t Value) {
    return Duration(Value);
  }

  /// \returns the duration in milliseconds, with fractions.
  constexpr double toMillis() const {
    return static_cast<double>(Ticks) / TicksPerMilli;
  }

  /// \returns the duration in whole milliseconds, rounded towards zero.
  constexpr std::int64_t wholeMillis() const { return Ticks / TicksPerMilli; }

  /// \returns the duration in microseconds.
  constexpr std::int64_t ticks() const { return Ticks; }

  constexpr auto operator<=>(const Duration &) const = default;

  constexpr Duration operator+(Duration Other) const {
    return Duration(Ticks + Other.Ticks);
  }
  constexpr Duration operator-(Duration Other) const {
    return Duration(Ticks - Other.Ticks);
  }
  constexpr Duration operator*(double Factor) const {
    return Duration(ticksOf(static_cast<double>(Ticks) * Factor));
  }
  constexpr Duration operator/(std::int64_t Divisor) const {
    return Duration(Ticks / Divisor);
  }
  constexpr Duration &operator+=(Duration Other) {
    Ticks += Other.Ticks;
    return *this;
  }

private:
  static constexpr std::int64_t TicksPerMilli = 1000;

  constexpr explicit Duration(std::int64_t Ticks) : Ticks(Ticks) {}

  static constexpr std::int64_t ticksOf(double Value) {
    using Limits = std::numeric_limits<std::int64_t>;
    // As a double, the largest number is rounded up and can't be converted.
    if (Value >= static_cast<double>(Limits::max()))
      return Limits::max();
    if (Value <= static_cast<double>(Limits::min()))
      return Limits::min();
    return static_cast<std::int64_t>(Value);
  }

  std::int64_t Ticks = 0;
};

} // namespace camphorpin

#endif
