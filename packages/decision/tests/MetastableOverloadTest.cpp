// Guards against metastable overload: after a trigger has gone, retries and
// stale work keep a chain of services overloaded for good.
#include "AdmissionFixture.h"

#include <criterion/criterion.h>

using namespace camphorpin;
using namespace camphorpin::test;

namespace {

constexpr std::size_t TriggerStart = 20;
constexpr std::size_t TriggerEnd = 40;
constexpr std::size_t RunEnd = 100;

struct Outcome {
  double Before = 0;
  double During = 0;
  double After = 0;
  /// Seconds after the trigger until goodput stays at 95%; -1 for never.
  double RecoverySeconds = -1;
  double WastedShare = 0;
};

/// Four services in a row; 70% of the capacity is used. The trigger: the
/// deepest service is ten times slower, demand doubles, clients send again
/// three times at once.
Outcome runChain(Mode Kind) {
  MeshPolicy Mesh;
  Mesh.Ranks = {
      {"urgent", 0.02, 1.0}, {"normal", 0.02, 1.0}, {"lookup", 0.01, 0.8}};
  Chain Run({{.Name = "front", .Slots = 40, .ServiceMs = 10},
             {.Name = "lots", .Slots = 30, .ServiceMs = 10},
             {.Name = "orders", .Slots = 20, .ServiceMs = 10},
             {.Name = "dispatch", .Slots = 10, .ServiceMs = 20}},
            Mesh, Kind);
  Load Steady = {.Rank = 1, .PerSecond = 350, .Depth = 4, .ClientRetries = 3};
  Load Surge = Steady;
  Surge.From = TriggerStart;
  Surge.Until = TriggerEnd;
  Run.add(Steady);
  Run.add(Surge);
  Run.runUntil(TriggerStart);
  Run.Specs[3].Slow = 10;
  Run.runUntil(TriggerEnd);
  Run.Specs[3].Slow = 1;
  Run.runUntil(RunEnd + 10);
  Outcome Result;
  Result.Before = Steady.share(10, TriggerStart);
  Result.During = Steady.share(TriggerStart, TriggerEnd);
  Result.After = Steady.share(RunEnd - 10, RunEnd);
  Result.WastedShare = Run.wasted();
  for (std::size_t Second = RunEnd; Second-- > TriggerEnd;) {
    if (Steady.share(Second, Second + 1) < 0.95 * Result.Before)
      break;
    Result.RecoverySeconds = static_cast<double>(Second - TriggerEnd);
  }
  cr_log_info("mode %d: before %.4f during %.4f after %.4f recovery %.0f s "
              "wasted %.4f",
              static_cast<int>(Kind), Result.Before, Result.During,
              Result.After, Result.RecoverySeconds, Result.WastedShare);
  return Result;
}

} // namespace

Test(MetastableOverload, chainRecoversAfterTheTriggerHasGone) {
  const Outcome Naive = runChain(Mode::Naive);
  const Outcome Controlled = runChain(Mode::Camphorpin);
  cr_assert_geq(Naive.Before, 0.95, "the baseline carries the steady load");
  cr_assert_lt(Naive.After, 0.5, "the baseline stays overloaded");
  cr_assert_geq(Controlled.After, 0.95 * Controlled.Before);
}
