#include "camphorpin/src/Core/Clock.h"

#include <cassert>
#include <chrono>

namespace camphorpin {

namespace {

template <class SourceClock> Instant read() {
  const std::chrono::microseconds SinceOrigin =
      std::chrono::duration_cast<std::chrono::microseconds>(
          SourceClock::now().time_since_epoch());
  return Instant() + Duration::ticks(SinceOrigin.count());
}

} // namespace

Instant SystemClock::now() const { return read<std::chrono::steady_clock>(); }

Instant SystemClock::wallNow() const {
  return read<std::chrono::system_clock>();
}

void ManualClock::advance(Duration Span) {
  assert(Span >= Duration() && "the clock is monotonic");
  Current = Current + Span;
}

void ManualClock::advanceTo(Instant Time) {
  assert(Time >= Current && "the clock is monotonic");
  Current = Time;
}

} // namespace camphorpin
