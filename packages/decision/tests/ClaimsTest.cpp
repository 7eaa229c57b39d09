// Tests with random sequences of failures of homes, mirrors, messages and the
// log that a key runs at most once and that a verdict not-run is correct.
#include "ClaimsSimulation.h"

#include <criterion/criterion.h>
#include <cstdio>
#include <cstdlib>
#include <rapidcheck.h>

using namespace camphorpin;
using namespace camphorpin::test;

namespace {

constexpr int SequenceCount = 4000;

// Upper bound on the recovery after the last failure: the maximum interval
// between changes of the home set (60 s), its coalescing and staggering (2 s +
// 5 x 1 s), the detection of ended processes (12 s), the mirror timeout (10 s)
// and the cutoff of keys (10 s).
constexpr Duration RecoveryBound = Duration::seconds(120);

struct Totals {
  std::size_t KeysRunTwice = 0;
  std::size_t FalseVerdicts = 0;
  std::size_t RunCount = 0;
  std::size_t NotRunVerdicts = 0;
  std::size_t RecordCount = 0;
  std::size_t MessageCount = 0;
};

void add(Totals &Sum, const ClaimsSimulation &Simulation) {
  Sum.KeysRunTwice += Simulation.Oracle.KeysRunTwice;
  Sum.FalseVerdicts += Simulation.Oracle.FalseVerdicts;
  Sum.RunCount += Simulation.Oracle.RunCount;
  Sum.NotRunVerdicts += Simulation.Oracle.NotRunVerdicts;
  Sum.RecordCount += Simulation.RecordCount;
  Sum.MessageCount += Simulation.MessageCount;
}

void print(const char *Name, int Count, const Totals &Sum) {
  std::fprintf(stderr,
               "%s: %d sequences, %zu runs, %zu not-run verdicts, %zu epochs, "
               "%zu messages, %zu keys run twice, %zu false verdicts\n",
               Name, Count, Sum.RunCount, Sum.NotRunVerdicts, Sum.RecordCount,
               Sum.MessageCount, Sum.KeysRunTwice, Sum.FalseVerdicts);
}

/// Sets the number of random sequences. Criterion runs each test in a separate
/// process, so the change of the environment affects only this test.
void setSequenceCount(int Count) {
  const char *Present = std::getenv("RC_PARAMS");
  const std::string Parameters = std::string(Present ? Present : "") +
                                 " max_success=" + std::to_string(Count);
  setenv("RC_PARAMS", Parameters.c_str(), 1);
}

std::vector<std::uint32_t> commands() {
  return *rc::gen::withSize([](int Size) {
    return rc::gen::container<std::vector<std::uint32_t>>(
        100 + 2 * static_cast<std::size_t>(Size),
        rc::gen::noShrink(rc::gen::inRange<std::uint32_t>(0, 1U << 24U)));
  });
}

Totals runBaseline(Protection Mode, int Count) {
  Totals Sum;
  SeededRandom Source(20261204);
  for (int Sequence = 0; Sequence < Count; ++Sequence) {
    ClaimsSimulation Simulation(Mode, 3);
    for (int Step = 0; Step < 200; ++Step)
      Simulation.apply(static_cast<std::uint32_t>(Source.below(1U << 24U)));
    add(Sum, Simulation);
  }
  return Sum;
}

} // namespace

// Verifies that the simulation detects violations: with the baselines, no
// mirror or a mirror that does not fence past epochs, random sequences run keys
// twice.
Test(Claims, weakerProtectionRunsKeysTwice) {
  const Totals HomeOnly = runBaseline(Protection::HomeOnly, 300);
  print("keys remembered only at the home", 300, HomeOnly);
  cr_assert_gt(HomeOnly.KeysRunTwice, 0U);
  const Totals NoFence = runBaseline(Protection::NoFence, 2000);
  print("mirror without fence", 2000, NoFence);
  cr_assert_gt(NoFence.KeysRunTwice, 0U);
}

// Guards the two safety properties: no key runs twice, and no verdict is false.
Test(Claims, keysRunAtMostOnceAndVerdictsAreCorrect, .timeout = 60) {
  setSequenceCount(SequenceCount);
  Totals Sum;
  const bool Passed = rc::check("at most once", [&Sum] {
    ClaimsSimulation Simulation(Protection::Full,
                                *rc::gen::inRange<std::size_t>(0, 4));
    Simulation.FirstFaultCommand = *rc::gen::element(52U, 57U, 60U);
    for (const std::uint32_t Command : commands()) {
      Simulation.apply(Command);
      RC_ASSERT(Simulation.Oracle.KeysRunTwice == 0U);
      RC_ASSERT(Simulation.Oracle.FalseVerdicts == 0U);
    }
    add(Sum, Simulation);
  });
  print("full protection", SequenceCount, Sum);
  cr_assert(Passed);
}

// Guards liveness: refusing every key would also be safe, so new keys must run
// again after the failures end.
Test(Claims, newKeysRunAgainAfterFailuresEnd, .timeout = 60) {
  setSequenceCount(300);
  double LowestShare = 1;
  const bool Passed = rc::check("recovery", [&LowestShare] {
    ClaimsSimulation Simulation(Protection::Full,
                                *rc::gen::inRange<std::size_t>(0, 4));
    for (const std::uint32_t Command : commands())
      Simulation.apply(Command);
    const double Share = Simulation.recover(RecoveryBound);
    LowestShare = std::min(LowestShare, Share);
    RC_ASSERT(Simulation.Oracle.KeysRunTwice == 0U);
    RC_ASSERT(Simulation.Oracle.FalseVerdicts == 0U);
    RC_ASSERT(Share == 1.0);
  });
  std::fprintf(stderr, "lowest share of new keys that run: %.2f\n",
               LowestShare);
  cr_assert(Passed);
}
