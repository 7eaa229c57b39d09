// Checks that urgent work is the last to be shed, and that during a flood the
// other ranks and callers keep their shares.
#include "ServiceChainSimulation.h"

#include <criterion/criterion.h>

using namespace camphorpin;
using namespace camphorpin::test;

namespace {

MeshPolicy threeRanks() {
  MeshPolicy Mesh;
  Mesh.Ranks = {
      {"urgent", 0.02, 1.0}, {"normal", 0.02, 1.0}, {"lookup", 0.01, 0.8}};
  return Mesh;
}

/// 20 slots x 20 ms: 1,000 calls/s.
const ServiceSpec Service = {.Name = "orders", .Slots = 20};
constexpr double Capacity = 1000;

} // namespace

Test(AdmissionRanks, floodOfLowestRankDoesNotAffectUrgentCalls) {
  double UrgentShare[2];
  for (Mode RunMode : {Mode::Camphorpin, Mode::Baseline}) {
    Load Urgent = {.Rank = 0, .PerSecond = 300};
    Load Flood = {
        .Rank = 2, .Caller = "b", .PerSecond = 10000, .From = 5, .Until = 15};
    ServiceChain Chain({Service}, threeRanks(), RunMode);
    Chain.add(Urgent);
    Chain.add(Flood);
    Chain.runUntil(20);
    UrgentShare[static_cast<int>(RunMode)] = Urgent.onTimeShare(5, 15);
    cr_log_info(
        "flood of lookups, mode %d: urgent %.4f lookup %.4f wasted %.4f",
        static_cast<int>(RunMode), Urgent.onTimeShare(5, 15),
        Flood.onTimeShare(5, 15), Chain.wastedShare());
  }
  cr_assert_geq(UrgentShare[0], 0.99);
  cr_assert_lt(UrgentShare[1], 0.5, "the baseline shows that the flood is one");
}

// Without floors a flood of urgent work starves the other ranks for as long as
// it lasts. With floors it must still get all the rest.
Test(AdmissionRanks, floodOfUrgentCallsLeavesOtherRanksTheirFloors) {
  for (bool Floors : {true, false}) {
    MeshPolicy Mesh = threeRanks();
    for (RankPolicy &Policy : Mesh.Ranks)
      Policy.Floor = Floors ? Policy.Floor : 0;
    Load Flood = {.Rank = 0, .PerSecond = 10000};
    Load Normal = {.Rank = 1, .Caller = "b", .PerSecond = 300};
    Load Lookup = {.Rank = 2, .Caller = "c", .PerSecond = 300};
    ServiceChain Chain({Service}, Mesh, Mode::Camphorpin);
    for (Load *Traffic : {&Flood, &Normal, &Lookup})
      Chain.add(*Traffic);
    Chain.runUntil(20);
    const double Urgent = Flood.onTimeRate(5, 15);
    cr_log_info("flood of urgent work, floors %d: urgent %.1f/s normal %.1f/s "
                "lookup %.1f/s",
                Floors, Urgent, Normal.onTimeRate(5, 15),
                Lookup.onTimeRate(5, 15));
    const double FloorFactor = Floors ? 1 : 0;
    cr_assert_geq(Normal.onTimeRate(5, 15),
                  FloorFactor * 0.9 * 0.02 * Capacity);
    cr_assert_geq(Lookup.onTimeRate(5, 15),
                  FloorFactor * 0.9 * 0.01 * Capacity);
    cr_assert_leq(Normal.onTimeRate(5, 15),
                  0.01 + FloorFactor * 1.2 * 0.02 * Capacity);
    cr_assert_leq(Lookup.onTimeRate(5, 15),
                  0.01 + FloorFactor * 1.2 * 0.01 * Capacity);
    cr_assert_geq(Urgent, 0.95 * (1 - FloorFactor * 0.03) * Capacity);
  }
}

// A caller that overloads its rank must not take the shares of other callers.
Test(AdmissionRanks, floodingCallerIsLimitedToItsShare) {
  for (Mode RunMode : {Mode::Camphorpin, Mode::Baseline}) {
    MeshPolicy Mesh = threeRanks();
    Mesh.CallerShares[CallerName("cooperative")] = 2;
    Load Flood = {.Rank = 1, .Caller = "flooder", .PerSecond = 10000};
    Load Small = {.Rank = 1, .Caller = "small", .PerSecond = 200};
    Load Weighted = {.Rank = 1, .Caller = "cooperative", .PerSecond = 1000};
    ServiceChain Chain({Service}, Mesh, RunMode);
    for (Load *Traffic : {&Flood, &Small, &Weighted})
      Chain.add(*Traffic);
    Chain.runUntil(20);
    cr_log_info("flooding caller, mode %d: flooder %.1f/s small %.4f "
                "cooperative %.1f/s",
                static_cast<int>(RunMode), Flood.onTimeRate(5, 15),
                Small.onTimeShare(5, 15), Weighted.onTimeRate(5, 15));
    if (RunMode == Mode::Baseline) {
      cr_assert_lt(Small.onTimeShare(5, 15), 0.5,
                   "the baseline loses the caller");
      continue;
    }
    cr_assert_geq(Small.onTimeShare(5, 15), 0.99,
                  "it asks for less than its share");
    const double Ratio = Weighted.onTimeRate(5, 15) / Flood.onTimeRate(5, 15);
    cr_assert(Ratio > 1.8 && Ratio < 2.2, "weights 2 to 1 gave %f", Ratio);
  }
}

// Long lookups that hold all slots make urgent calls wait for one of them. A
// cap below 1 or cancellation avoids it; the figures show what each costs.
Test(AdmissionRanks, preemptionKeepsUrgentCallsFromWaitingForLongLookups) {
  double UrgentShare[2][2];
  for (bool Capped : {false, true}) {
    for (bool Cancel : {false, true}) {
      MeshPolicy Mesh = threeRanks();
      Mesh.Ranks[2].Cap = Capped ? 0.8 : 1.0;
      Load Lookups = {.Rank = 2,
                      .PerSecond = 20,
                      .Deadline = Duration::seconds(10),
                      .ServiceMs = 2000};
      Load Urgent = {.Rank = 0,
                     .Caller = "b",
                     .PerSecond = 30,
                     .Deadline = Duration::millis(300)};
      ServiceChain Chain({{.Name = "ucetni",
                           .Slots = 15,
                           .ServiceMs = 100,
                           .CancelLowerRanks = Cancel}},
                         Mesh, Mode::Camphorpin);
      Chain.add(Lookups);
      Chain.add(Urgent);
      Chain.runUntil(70);
      UrgentShare[Capped][Cancel] = Urgent.onTimeShare(10, 60);
      cr_log_info("long lookups, cap %.1f, cancel %d: urgent %.4f lookups "
                  "%.2f/s cancelled %.0f wasted %.4f",
                  Mesh.Ranks[2].Cap, Cancel, UrgentShare[Capped][Cancel],
                  Lookups.onTimeRate(10, 60), Chain.Cancels,
                  Chain.wastedShare());
    }
  }
  cr_assert_lt(UrgentShare[0][0], 0.9,
               "without cap and cancellation they wait");
  cr_assert_geq(UrgentShare[0][1], 0.99);
}
