// Guards against lost throughput of a backend server that slows down when all
// of its slots are in use, and against leaving slots empty without need.
#include "camphorpin/src/Gateway/SlotLimit.h"
#include "camphorpin/Core.h"

#include <cmath>
#include <criterion/criterion.h>
#include <functional>
#include <numbers>
#include <queue>
#include <vector>

using namespace camphorpin;

namespace {

/// A saturated backend server.
struct Server {
  std::uint32_t Slots = 63;
  double WorkMillis = 40;
  /// Standard deviation of the logarithm of the service time.
  double Spread = 0.5;
  /// Fraction of the slots in use above which the service time is multiplied by
  /// ContentionFactor.
  double ContentionThreshold = 1;
  double ContentionFactor = 1;
  /// Slowdown factor of all requests as a function of the time in milliseconds.
  std::function<double(double)> SlowdownAt = [](double) { return 1.0; };

  double work(double Now, std::size_t Running, Random &RandomSource) const {
    const double Radius =
        std::sqrt(-2 * std::log(1 - RandomSource.uniform01()));
    const double Normal =
        Radius * std::cos(2 * std::numbers::pi * RandomSource.uniform01());
    const double Contention =
        static_cast<double>(Running) > ContentionThreshold * Slots
            ? ContentionFactor
            : 1;
    return WorkMillis * Contention * SlowdownAt(Now) *
           std::exp(Spread * Normal - Spread * Spread / 2);
  }
};

/// \returns the throughput of \p Backend, relative to the ideal throughput with
/// all slots in use and no slowdown.
/// \param Limit the limit under test; null to use all slots.
/// \param StartMillis start of the measured time; the simulation ends 20 s
/// later.
double throughput(const Server &Backend, SlotLimit *Limit, std::uint64_t Seed,
                  double StartMillis = 2000) {
  struct Run {
    double End;
    double Started;
    SlotLimit::WindowTag WindowTag;
    bool operator<(const Run &Other) const { return End > Other.End; }
  };
  SeededRandom RandomSource(Seed);
  std::priority_queue<Run> Running;
  double Now = 0;
  double Served = 0;
  while (Now < StartMillis + 20000) {
    const std::uint32_t Allowed = Limit ? Limit->value() : Backend.Slots;
    while (Running.size() < Allowed) {
      const std::size_t Count = Running.size() + 1;
      Running.push({Now + Backend.work(Now, Count, RandomSource), Now,
                    Limit ? Limit->onStart(Count) : SlotLimit::WindowTag()});
    }
    const Run Ended = Running.top();
    Running.pop();
    Now = Ended.End;
    if (Limit)
      Limit->onFinished(Ended.WindowTag,
                        (Now - Ended.Started) / Backend.WorkMillis);
    if (Now > StartMillis)
      ++Served;
  }
  return Served / 20000 * Backend.WorkMillis / Backend.Slots;
}

double throughputWithLimit(const Server &Backend, std::uint64_t Seed,
                           double StartMillis = 2000) {
  SlotLimit Limit;
  Limit.setSlots(Backend.Slots);
  return throughput(Backend, &Limit, Seed, StartMillis);
}

constexpr int Seeds = 5;

} // namespace

Test(SlotLimit, leavesSlotsEmptyIfFullServerIsSlow) {
  for (const std::uint32_t Slots : {21U, 63U}) {
    const Server Backend{
        .Slots = Slots, .ContentionThreshold = 0.95, .ContentionFactor = 1.3};
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      const double AllSlots = throughput(Backend, nullptr, Seed);
      const double WithLimit = throughputWithLimit(Backend, Seed);
      cr_assert_gt(WithLimit, AllSlots * 1.1,
                   "%u slots, seed %lu: %.3f, all slots %.3f", Slots, Seed,
                   WithLimit, AllSlots);
    }
  }
}

Test(SlotLimit, findsLimitFarBelowAllSlots) {
  const Server Backend{
      .Slots = 40, .ContentionThreshold = 0.8, .ContentionFactor = 2};
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const double AllSlots = throughput(Backend, nullptr, Seed);
    const double WithLimit = throughputWithLimit(Backend, Seed);
    cr_assert_gt(WithLimit, AllSlots * 1.3, "seed %lu: %.3f, all slots %.3f",
                 Seed, WithLimit, AllSlots);
  }
}

Test(SlotLimit, usesAllSlotsIfConcurrencyDoesNotMatter) {
  for (const double Spread : {0.5, 0.8})
    for (const std::uint32_t Slots : {19U, 63U, 150U}) {
      const Server Backend{.Slots = Slots, .Spread = Spread};
      for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
        const double RelativeThroughput = throughputWithLimit(Backend, Seed) /
                                          throughput(Backend, nullptr, Seed);
        cr_assert_gt(RelativeThroughput, 0.96,
                     "%u slots, spread %.1f, seed %lu: %.3f", Slots, Spread,
                     Seed, RelativeThroughput);
      }
    }
}

// Guards against reducing the slots of a server that slows down for another
// reason.
Test(SlotLimit, ignoresSlowdownUnrelatedToConcurrency) {
  const Server Backend{.SlowdownAt = [](double Now) {
    return std::fmod(Now, 4000) < 2000 ? 1.0 : 5.0;
  }};
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const double RelativeThroughput =
        throughputWithLimit(Backend, Seed) / throughput(Backend, nullptr, Seed);
    cr_assert_gt(RelativeThroughput, 0.96, "seed %lu: %.3f", Seed,
                 RelativeThroughput);
  }
}

// Guards against comparing levels by runs that were not bounded by the limit.
Test(SlotLimit, ignoresRunsWithUnusedSlots) {
  SlotLimit Limit;
  Limit.setSlots(10);
  for (int Count = 0; Count < 10000; ++Count)
    Limit.onFinished(Limit.onStart(9), 1 + Count % 5);
  cr_assert_eq(Limit.value(), 10U);
}

// Guards against a limit of 0, under which the backend server would get no
// requests.
Test(SlotLimit, keepsASingleSlot) {
  SlotLimit Limit;
  Limit.setSlots(1);
  for (int Count = 0; Count < 10000; ++Count)
    Limit.onFinished(Limit.onStart(1), 1 + Count % 5);
  cr_assert_eq(Limit.value(), 1U);
}

// Guards against trying the same limit repeatedly: with 4 slots, three levels
// leave one empty, so that callers would wait needlessly three times as often.
// 4000 runs contain two rounds, with one trial each.
Test(SlotLimit, triesEachLimitOncePerRound) {
  SlotLimit Limit;
  Limit.setSlots(4);
  int Trials = 0;
  std::uint32_t Before = Limit.value();
  for (int Count = 0; Count < 4000; ++Count) {
    Limit.onFinished(Limit.onStart(Limit.value()), 1);
    if (Limit.value() < Before)
      ++Trials;
    Before = Limit.value();
  }
  cr_assert_eq(Trials, 2, "%d trials", Trials);
}

// Guards against counting a run of the previous server as a sample of its
// successor.
Test(SlotLimit, ignoresRunsStartedBeforeReset) {
  SlotLimit Limit;
  Limit.setSlots(10);
  const SlotLimit::WindowTag Before = Limit.onStart(10);
  Limit.reset();
  cr_assert_neq(Limit.onStart(10).Window, Before.Window);
  cr_assert_eq(Limit.value(), 10U);
}
