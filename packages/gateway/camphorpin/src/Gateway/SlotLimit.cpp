#include "camphorpin/src/Gateway/SlotLimit.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>
#include <utility>

namespace camphorpin {

namespace {

/// Candidate limits, as fractions of the slots.
constexpr std::array<double, 4> LevelFractions = {1.0, 0.95, 0.9, 0.8};
/// A window ends after this many runs, or WindowRunsPerSlot for each allowed
/// concurrent run if that is more. With this many, the mean durations of two
/// windows under equal conditions mostly differ by less than a tenth.
constexpr std::uint32_t MinWindowRuns = 192;
constexpr std::uint32_t WindowRunsPerSlot = 4;
/// Maximum absolute log ratio of two windows of the same level. Beyond it,
/// something other than the number of runs has changed.
constexpr double MaxBaselineDrift = 0.3;
/// Mean log gain required to adopt a level. NoiseMargin covers noise and is
/// divided by the number of comparisons.
constexpr double MinGain = 0.02;
constexpr double NoiseMargin = 0.2;
/// Maximum number of comparisons in a trial.
constexpr int MaxComparisons = 6;
/// Windows between two rounds of trials. Each trial leaves a few slots unused
/// for a short time.
constexpr int MinTrialInterval = 16;
constexpr int MaxTrialInterval = 256;

} // namespace

void SlotLimit::setSlots(std::uint32_t Value) {
  assert(Value > 0 && "a backend server has at least one slot");
  if (Value == Slots)
    return;
  Slots = Value;
  reset();
}

void SlotLimit::reset() {
  const std::uint32_t Kept = Slots;
  // Runs tagged with an earlier window are not samples of the new one.
  const std::uint64_t NextWindow = Window + 1;
  *this = SlotLimit();
  Slots = Kept;
  Window = NextWindow;
}

std::uint32_t SlotLimit::limitAt(int Index) const {
  const double Fraction = LevelFractions[static_cast<std::size_t>(Index)];
  return std::max(1U, static_cast<std::uint32_t>(Slots * Fraction));
}

bool SlotLimit::isNewLimit(int Index) const {
  const std::uint32_t Limit = limitAt(Index);
  const bool Repeated = Index > 0 && Limit == limitAt(Index - 1);
  return !Repeated && Limit != limitAt(Level);
}

SlotLimit::SlotLimit() : TrialInterval(MinTrialInterval) {}

SlotLimit::WindowTag SlotLimit::onStart(std::size_t Running) const {
  return Running >= value() ? WindowTag{Window} : WindowTag{};
}

void SlotLimit::onFinished(WindowTag Started, double Slowdown) {
  if (Started.Window != Window)
    return;
  SlowdownSum += Slowdown;
  if (++Samples >= std::max(MinWindowRuns, WindowRunsPerSlot * value()))
    closeWindow();
}

void SlotLimit::closeWindow() {
  // Relative throughput by Little's law: the concurrency divided by the mean
  // slowdown.
  const double Throughput = value() * Samples / SlowdownSum;
  ++Window;
  Samples = 0;
  SlowdownSum = 0;
  if (InTrialWindow) {
    TrialThroughput = Throughput;
    InTrialWindow = false;
    return;
  }
  const double Before = std::exchange(BaseThroughput, Throughput);
  if (TrialLevel != Level)
    recordComparison(Before, Throughput);
  else if (--WindowsUntilTrial <= 0)
    beginTrial();
  InTrialWindow = TrialLevel != Level;
}

void SlotLimit::recordComparison(double Before, double After) {
  if (std::abs(std::log(After / Before)) > MaxBaselineDrift)
    return;
  ++Comparisons;
  GainSum += std::log(TrialThroughput / std::sqrt(Before * After));
  evaluateTrial();
}

void SlotLimit::evaluateTrial() {
  const double Gain = GainSum / Comparisons;
  if (Gain > MinGain + NoiseMargin / Comparisons) {
    Level = TrialLevel;
    TrialInterval = MinTrialInterval;
    endTrial();
    return;
  }
  if (Gain < 0 || Comparisons >= MaxComparisons)
    endTrial();
}

void SlotLimit::endTrial() {
  TrialLevel = Level;
  Comparisons = 0;
  GainSum = 0;
}

void SlotLimit::beginTrial() {
  // With few slots, several levels allow the same number of runs.
  while (NextLevel < Levels && !isNewLimit(NextLevel))
    ++NextLevel;
  if (NextLevel < Levels) {
    TrialLevel = NextLevel++;
    return;
  }
  // All levels have been tried.
  NextLevel = 0;
  WindowsUntilTrial = TrialInterval;
  TrialInterval = std::min(TrialInterval * 2, MaxTrialInterval);
}

} // namespace camphorpin
