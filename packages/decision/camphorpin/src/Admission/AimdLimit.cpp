#include "camphorpin/src/Admission/AimdLimit.h"

#include <algorithm>
#include <cassert>
#include <cmath>

using namespace camphorpin;

namespace {

/// The ramp starts at this share of the slots.
constexpr double RampStart = 0.125;
constexpr double RampFactor = 1.25;
/// The smallest limit as a share of the slots.
constexpr double SmallestShare = 0.05;
/// Mean slowdown of a window from which the limit decreases.
constexpr double CongestedSlowdown = 2.0;
constexpr double DecreaseFactor = 0.75;
/// Part of the proportional improvement that a decrease has to bring. Half
/// separates "in proportion" from "not at all" in the noise of one window.
constexpr double ExpectedPart = 0.5;
/// The reference returns towards 1 by this factor per window, so that an
/// accepted slowdown is put to the test again.
constexpr double ReferenceDecay = 0.98;
/// Increase per window as a share of the slots.
constexpr double IncreaseShare = 0.05;
/// The limit grows only while at least this share of it is used; otherwise the
/// latency says nothing about a larger limit.
constexpr double UsedShare = 0.8;
constexpr std::size_t SmallestWindow = 16;
constexpr Duration ShortestWindow = Duration::millis(50);

} // namespace

AimdLimit::AimdLimit(std::uint32_t Slots, Decreases Check)
    : Slots(Slots), Check(Check) {
  assert(Slots > 0 && "a backend server has at least one slot");
  restart();
}

double AimdLimit::smallest() const {
  return std::max(1.0, SmallestShare * Slots);
}

void AimdLimit::restart() {
  Limit = std::max(smallest(), RampStart * Slots);
  Ramping = true;
  Reference = 1;
  LimitBefore = 0;
  SlowdownSum = 0;
  Samples = 0;
  MostRunning = 0;
}

void AimdLimit::setSlots(std::uint32_t Value) {
  assert(Value > 0 && "a backend server has at least one slot");
  Slots = Value;
  Limit = std::clamp(Limit, smallest(), static_cast<double>(Slots));
}

std::uint32_t AimdLimit::value() const {
  return static_cast<std::uint32_t>(Limit);
}

void AimdLimit::onFinished(const LatencySample &Sample, Instant Now) {
  if (Samples == 0)
    WindowStart = Now;
  SlowdownSum += Sample.Slowdown;
  ++Samples;
  MostRunning = std::max(MostRunning, Sample.Running);
  const std::size_t Wanted =
      std::max(SmallestWindow, static_cast<std::size_t>(Limit));
  if (Samples >= Wanted && Now - WindowStart >= ShortestWindow)
    closeWindow();
}

void AimdLimit::closeWindow() {
  decide(SlowdownSum / static_cast<double>(Samples));
  Limit = std::clamp(Limit, smallest(), static_cast<double>(Slots));
  SlowdownSum = 0;
  Samples = 0;
  MostRunning = 0;
}

void AimdLimit::decide(double Slowdown) {
  Reference = std::max(1.0, std::min(Reference * ReferenceDecay, Slowdown));
  if (LimitBefore > 0 && decreaseFailed(Slowdown)) {
    Limit = LimitBefore;
    LimitBefore = 0;
    Reference = Slowdown;
    return;
  }
  if (Slowdown > CongestedSlowdown * Reference) {
    if (LimitBefore == 0) {
      LimitBefore = Limit;
      SlowdownBefore = Slowdown;
    }
    decrease();
    return;
  }
  LimitBefore = 0;
  if (static_cast<double>(MostRunning) >= UsedShare * std::floor(Limit))
    increase();
}

bool AimdLimit::decreaseFailed(double Slowdown) const {
  if (Check == Decreases::Unverified)
    return false;
  const double Expected = 1 - Limit / LimitBefore;
  const double Improvement = 1 - Slowdown / SlowdownBefore;
  return Improvement < ExpectedPart * Expected;
}

void AimdLimit::increase() {
  Limit = Ramping ? Limit * RampFactor + 1
                  : Limit + std::max(1.0, IncreaseShare * Slots);
}

void AimdLimit::decrease() {
  Limit = std::max(smallest(), Limit * DecreaseFactor);
  Ramping = false;
}

void AimdLimit::onBackendShed(std::size_t Running, Instant Now) {
  if (Now - LastShed < ShortestWindow)
    return;
  LastShed = Now;
  LimitBefore = 0;
  Limit = std::clamp(static_cast<double>(Running), smallest(), Limit);
  decrease();
}
