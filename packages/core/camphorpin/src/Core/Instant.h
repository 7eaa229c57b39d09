#ifndef CAMPHORPIN_SRC_CORE_INSTANT_H
#define CAMPHORPIN_SRC_CORE_INSTANT_H

#include "camphorpin/src/Core/Duration.h"

#include <compare>
#include <cstdint>
#include <limits>

namespace camphorpin {

/// \class Instant
/// \brief A point in time, stored as the duration since the origin of its
/// clock.
///
/// Only instants of the same clock may be compared. The origin of a wall clock
/// is the Unix epoch.
class Instant {
public:
  constexpr Instant() = default;

  /// \param Value whole milliseconds since the origin.
  static constexpr Instant fromMillis(std::int64_t Value) {
    return Instant(Duration::millis(Value));
  }

  /// \returns an instant later than any that a clock returns.
  static constexpr Instant never() {
    return Instant(Duration::ticks(std::numeric_limits<std::int64_t>::max()));
  }

  /// \returns the time since the origin.
  constexpr Duration sinceOrigin() const { return Offset; }

  /// \returns whole milliseconds since the origin.
  constexpr std::int64_t wholeMillis() const { return Offset.wholeMillis(); }

  constexpr auto operator<=>(const Instant &) const = default;

  constexpr Instant operator+(Duration Span) const {
    return Instant(Offset + Span);
  }
  constexpr Instant operator-(Duration Span) const {
    return Instant(Offset - Span);
  }
  constexpr Duration operator-(Instant Other) const {
    return Offset - Other.Offset;
  }

private:
  constexpr explicit Instant(Duration Offset) : Offset(Offset) {}

  Duration Offset;
};

} // namespace camphorpin

#endif
