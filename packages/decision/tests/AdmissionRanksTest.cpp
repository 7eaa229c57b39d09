// Guards requirement R2: urgent work is the last to be shed, and during a flood
// the other ranks and callers keep their shares.
#include "AdmissionFixture.h"

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

} // namespace

Test(AdmissionRanks, floodOfLeastUrgentLeavesUrgentWorkAlone) {
  double Share[2];
  for (Mode Kind : {Mode::Camphorpin, Mode::Naive}) {
    Load Urgent = {.Rank = 0, .PerSecond = 300};
    Load Flood = {
        .Rank = 2, .Caller = "b", .PerSecond = 10000, .From = 5, .Until = 15};
    Chain Run({Service}, threeRanks(), Kind);
    Run.add(Urgent);
    Run.add(Flood);
    Run.runUntil(20);
    Share[static_cast<int>(Kind)] = Urgent.share(5, 15);
    cr_log_warn(
        "flood of lookups, mode %d: urgent %.4f lookup %.4f wasted %.4f",
        static_cast<int>(Kind), Urgent.share(5, 15), Flood.share(5, 15),
        Run.Wasted / Run.Executions);
  }
  cr_assert_geq(Share[0], 0.99);
  cr_assert_lt(Share[1], 0.5, "the baseline shows that the flood is one");
}
