#include "camphorpin/src/Admission/AimdLimit.h"

#include <algorithm>
#include <cassert>
#include <utility>

using namespace camphorpin;

namespace {

/// Slow start begins at this share of the slots. With calls of 400 ms, an
/// eighth and a factor of 1.25 took 10 s to reach a load of 70%; a quarter and
/// a factor of 2 take 2 s.
constexpr double InitialLimitShare = 0.25;
constexpr double SlowStartFactor = 2.0;
/// Lower bound of the limit as a share of the slots.
constexpr double MinLimitShare = 0.05;
/// The limit decreases if the mean slowdown of a window exceeds the baseline by
/// this factor.
constexpr double CongestedSlowdown = 2.0;
constexpr double DecreaseFactor = 0.75;
/// Minimum improvement of the latency after a decrease, as a share of the
/// relative drop in concurrency. Half tells a proportional improvement from
/// none despite the noise of one window.
constexpr double MinImprovementShare = 0.5;
/// A decrease is evaluated only if the concurrency dropped by at least this
/// share.
constexpr double MinConcurrencyDrop = 0.15;
/// The baseline decays towards 1 by this factor per window, so that an accepted
/// slowdown is verified again.
constexpr double BaselineDecay = 0.98;
/// Increase per window as a share of the slots.
constexpr double IncreaseShare = 0.05;
/// A longer window delays slow start; with a shorter one slow start overshoots
/// the concurrency at which calls begin to compete.
constexpr std::size_t MinWindowSamples = 24;
constexpr Duration MinWindowDuration = Duration::millis(50);

} // namespace

AimdLimit::AimdLimit(std::uint32_t Slots, DecreaseMode Mode)
    : Slots(Slots), Mode(Mode) {
  assert(Slots > 0 && "a backend server has at least one slot");
  restart();
}

double AimdLimit::minLimit() const {
  return std::max(1.0, MinLimitShare * Slots);
}

void AimdLimit::restart() {
  Limit = std::max(minLimit(), InitialLimitShare * Slots);
  InSlowStart = true;
  SkipWindow = false;
  BaselineSlowdown = 1;
  LimitBeforeDecrease = 0;
  WindowSum = {};
  Samples = 0;
  AtLimit = false;
}

void AimdLimit::setSlots(std::uint32_t Value) {
  assert(Value > 0 && "a backend server has at least one slot");
  Slots = Value;
  Limit = std::clamp(Limit, minLimit(), static_cast<double>(Slots));
}

std::uint32_t AimdLimit::value() const {
  return static_cast<std::uint32_t>(Limit);
}

void AimdLimit::onFinished(const LatencySample &Sample, Instant Now) {
  if (Samples == 0)
    WindowStart = Now;
  WindowSum.Slowdown += Sample.Slowdown;
  WindowSum.Running += static_cast<double>(Sample.Running);
  ++Samples;
  AtLimit |= Sample.AtLimit;
  const std::size_t SamplesNeeded =
      std::max(MinWindowSamples, static_cast<std::size_t>(Limit));
  if (Samples >= SamplesNeeded && Now - WindowStart >= MinWindowDuration)
    closeWindow();
}

void AimdLimit::closeWindow() {
  const double Count = static_cast<double>(Samples);
  if (!std::exchange(SkipWindow, false))
    adjustLimit({.Slowdown = WindowSum.Slowdown / Count,
                 .Running = WindowSum.Running / Count});
  Limit = std::clamp(Limit, minLimit(), static_cast<double>(Slots));
  WindowSum = {};
  Samples = 0;
  AtLimit = false;
}

void AimdLimit::adjustLimit(const Window &Observed) {
  BaselineSlowdown = std::max(
      1.0, std::min(BaselineSlowdown * BaselineDecay, Observed.Slowdown));
  if (LimitBeforeDecrease > 0 && decreaseWasIneffective(Observed)) {
    Limit = LimitBeforeDecrease;
    LimitBeforeDecrease = 0;
    BaselineSlowdown = Observed.Slowdown;
    return;
  }
  if (Observed.Slowdown > CongestedSlowdown * BaselineSlowdown) {
    if (LimitBeforeDecrease == 0) {
      LimitBeforeDecrease = Limit;
      WindowBeforeDecrease = Observed;
    }
    decrease(Observed.Running);
    return;
  }
  LimitBeforeDecrease = 0;
  if (AtLimit)
    increase();
}

bool AimdLimit::decreaseWasIneffective(const Window &Observed) const {
  const double ConcurrencyDrop =
      1 - Observed.Running / WindowBeforeDecrease.Running;
  if (Mode == DecreaseMode::Unverified || ConcurrencyDrop < MinConcurrencyDrop)
    return false;
  const double Improvement =
      1 - Observed.Slowdown / WindowBeforeDecrease.Slowdown;
  return Improvement < MinImprovementShare * ConcurrencyDrop;
}

void AimdLimit::increase() {
  Limit = InSlowStart ? Limit * SlowStartFactor + 1
                      : Limit + std::max(1.0, IncreaseShare * Slots);
}

void AimdLimit::decrease(double Running) {
  Limit = std::max(minLimit(), std::min(Limit, Running) * DecreaseFactor);
  InSlowStart = false;
  SkipWindow = Mode == DecreaseMode::Verified;
}

void AimdLimit::onBackendShed(std::size_t Running, Instant Now) {
  if (Now - LastShed < MinWindowDuration)
    return;
  LastShed = Now;
  LimitBeforeDecrease = 0;
  decrease(static_cast<double>(Running));
}
