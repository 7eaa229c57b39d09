#include "LoadModel.h"

#include <criterion/criterion.h>

using namespace camphorpin::model;

namespace {

/// Part of the attainable worth that callers get under overload and around it.
constexpr double TargetPart = 0.9;
constexpr std::uint64_t Seeds = 3;

void checkScenario(const std::string &Name) {
  const Scenario System =
      readScenario(CAMPHORPIN_SCENARIOS "/" + Name + ".json");
  const double Attainable = attainableWorth(System);
  double Worth = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    Worth += play(System, Seed).worth() / Seeds;
  cr_assert_geq(Worth, TargetPart * Attainable, "%s: %.3f of %.3f",
                Name.c_str(), Worth, Attainable);
}

} // namespace

// Guards the recovery: bounds that were lowered while a service was slow must
// not outlast it for seconds.
Test(LoadModel, recoversSoonAfterAnOutage) { checkScenario("umurage-outage"); }

// Guards the callers of a service that has lost most of its servers against
// runs that take its room and fail.
Test(LoadModel, overloadedServiceWorksForWholeAnswers) {
  checkScenario("umurage-one-left");
  checkScenario("rucicka-one-left");
}

// Guards urgent and other work while a burst goes beyond what a service deep in
// the call graph carries.
Test(LoadModel, burstsCostOnlyWhatDoesNotFit) {
  checkScenario("rucicka-busy");
  checkScenario("rucicka-overload");
}

// Guards everybody's throughput against servers that work slower when nearly
// all of their slots are in use.
Test(LoadModel, fullServersAreNotFilledUntilTheyAreSlow) {
  checkScenario("rucicka-full");
}
