#ifndef CAMPHORPIN_SRC_CORE_CLOCK_H
#define CAMPHORPIN_SRC_CORE_CLOCK_H

#include "camphorpin/src/Core/Instant.h"

namespace camphorpin {

/// \class Clock
/// \brief The source of time for all decision logic, replaceable in tests.
class Clock {
public:
  virtual ~Clock() = default;

  /// \returns the current time of a monotonic clock. Instants of different
  /// processes must not be compared.
  virtual Instant now() const = 0;

  /// \returns the wall clock time since the Unix epoch. It may jump, so it is
  /// only used for the timestamps of request keys and incarnations, and to
  /// spread calls of different hosts over time.
  virtual Instant wallNow() const = 0;
};

/// \class SystemClock
/// \brief Reads the monotonic clock and the wall clock of the host.
class SystemClock final : public Clock {
public:
  Instant now() const override;
  Instant wallNow() const override;
};

/// \class ManualClock
/// \brief A clock that the program advances explicitly, for simulated time.
class ManualClock final : public Clock {
public:
  /// \param WallOrigin the wall clock time at which now() is zero.
  explicit ManualClock(Instant WallOrigin = Instant::fromMillis(0))
      : WallOrigin(WallOrigin) {}

  Instant now() const override { return Current; }
  Instant wallNow() const override {
    return WallOrigin + Current.sinceOrigin();
  }

  /// Moves the clock forward by \p Span, which must not be negative.
  void advance(Duration Span);

  /// Moves the clock forward to \p Time, which must not be in the past.
  void advanceTo(Instant Time);

private:
  Instant WallOrigin;
  Instant Current;
};

} // namespace camphorpin

#endif
