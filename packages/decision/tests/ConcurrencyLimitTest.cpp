// Compares limit algorithms. A limit must not reduce throughput while a backend
// server waits for a slow dependency, and must prevent deadline misses on one
// that is cold or has too many slots.
#include "ServiceChainSimulation.h"

#include <criterion/criterion.h>

using namespace camphorpin;
using namespace camphorpin::test;

namespace {

/// A limit that follows the ratio of smallest to current latency.
class GradientLimit final : public ConcurrencyLimit {
public:
  explicit GradientLimit(std::uint32_t Slots)
      : Slots(Slots), Limit(std::max(1.0, Slots * 0.125)) {}
  void onFinished(const LatencySample &Sample, Instant) override {
    Sum += Sample.Slowdown;
    if (++Samples < std::max(16.0, Limit))
      return;
    const double Gradient = std::clamp(1.5 * Samples / Sum, 0.5, 1.0);
    const double Target = Limit * Gradient + std::sqrt(Limit);
    Limit = std::clamp(0.8 * Limit + 0.2 * Target, 1.0, Slots);
    Sum = Samples = 0;
  }
  void onBackendShed(std::size_t, Instant) override {}
  void restart() override {}
  void setSlots(std::uint32_t Value) override { Slots = Value; }
  std::uint32_t value() const override {
    return static_cast<std::uint32_t>(Limit);
  }

private:
  double Slots, Limit, Sum = 0, Samples = 0;
};

/// All slots from the start.
class FixedLimit final : public ConcurrencyLimit {
public:
  explicit FixedLimit(std::uint32_t Slots) : Slots(Slots) {}
  void onFinished(const LatencySample &, Instant) override {}
  void onBackendShed(std::size_t, Instant) override {}
  void restart() override {}
  void setSlots(std::uint32_t Value) override { Slots = Value; }
  std::uint32_t value() const override { return Slots; }

private:
  std::uint32_t Slots;
};

enum Algorithm { Verified, Unverified, Gradient, Fixed };
constexpr const char *Names[] = {"AIMD, verified", "AIMD", "gradient", "fixed"};

std::unique_ptr<ConcurrencyLimit> make(Algorithm Selected,
                                       std::uint32_t Slots) {
  switch (Selected) {
  case Gradient:
    return std::make_unique<GradientLimit>(Slots);
  case Fixed:
    return std::make_unique<FixedLimit>(Slots);
  default:
    return std::make_unique<AimdLimit>(
        Slots, Selected == Verified ? AimdLimit::DecreaseMode::Verified
                                    : AimdLimit::DecreaseMode::Unverified);
  }
}

/// A backend server with 40 slots of 20 ms and a demand above its capacity.
struct Scenario {
  const char *Name;
  double PerSecond;
  double Knee;
  Duration Deadline;
  std::function<double(double Second)> SlowdownFactor;
};

/// One run of 40 s.
double goodput(const Scenario &Conditions, Algorithm Selected,
               std::uint64_t Seed) {
  MeshPolicy Mesh;
  Mesh.Ranks = {{"urgent", 0.0, 1.0}};
  Load Demand = {.PerSecond = Conditions.PerSecond,
                 .Deadline = Conditions.Deadline};
  ServiceSpec Spec = {.Name = "orders",
                      .Slots = 40,
                      .QueueLimit = 80,
                      .Knee = Conditions.Knee,
                      .SlowdownFactor = Conditions.SlowdownFactor(0)};
  Spec.Limit = [Selected](std::uint32_t Slots) {
    return make(Selected, Slots);
  };
  ServiceChain Chain({Spec}, Mesh, Mode::Camphorpin);
  Chain.Source = SeededRandom(Seed);
  Chain.add(Demand);
  for (int Tenth = 0; Tenth < 400; ++Tenth) {
    Chain.Specs[0].SlowdownFactor = Conditions.SlowdownFactor(Tenth * 0.1);
    Chain.runUntil(Tenth * 0.1 + 0.1);
  }
  return Demand.onTimeRate(0, 40);
}

/// Mean answers in time per second. Single runs differ by 2%.
std::array<double, 4> compare(const Scenario &Conditions) {
  std::array<double, 4> Result;
  constexpr std::uint64_t Seeds = 4;
  for (Algorithm Selected : {Verified, Unverified, Gradient, Fixed}) {
    Result[Selected] = 0;
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
      Result[Selected] += goodput(Conditions, Selected, Seed) / Seeds;
    cr_log_info("%s, %s: %.1f/s in time", Conditions.Name, Names[Selected],
                Result[Selected]);
  }
  return Result;
}

} // namespace

Test(ConcurrencyLimit, slowDependencyDoesNotReduceThroughput) {
  const Scenario Conditions = {
      "slow dependency", 2400, 1e9, Duration::seconds(1),
      [](double Second) { return Second > 10 && Second < 30 ? 10.0 : 1.0; }};
  const std::array<double, 4> Result = compare(Conditions);
  cr_assert_geq(Result[Verified], 0.95 * Result[Fixed]);
  cr_assert_gt(Result[Verified], Result[Unverified]);
  cr_assert_gt(Result[Verified], Result[Gradient]);
}

Test(ConcurrencyLimit, limitImprovesGoodputUnderContention) {
  const Scenario Conditions = {"contention", 600, 10, Duration::millis(70),
                               [](double) { return 1.0; }};
  const std::array<double, 4> Result = compare(Conditions);
  cr_assert_geq(Result[Verified], 1.1 * Result[Fixed]);
}

// Cold: ten times slower at first, and calls compete from the tenth one on.
Test(ConcurrencyLimit, coldStartGoodputIsNotBelowFixedLimit) {
  const Scenario Conditions = {
      "cold start", 2400, 10, Duration::millis(300),
      [](double Second) { return 1 + 9 * std::max(0.0, 1 - Second / 10); }};
  const std::array<double, 4> Result = compare(Conditions);
  cr_assert_geq(Result[Verified], 0.99 * Result[Fixed]);
}
