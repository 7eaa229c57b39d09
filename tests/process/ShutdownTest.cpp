#include "Scenario.h"

#include "Protocol.h"

#include <criterion/criterion.h>

using namespace camphorpin::process;

/// Guards against a graceful shutdown that cuts off requests, and against a
/// leaving backend server that still gets work.
Test(Shutdown, drainCutsOffNothing) {
  Scenario Case;
  cr_assert(Case.start());
  Case.startLoad(8000, false);
  cr_assert(Case.waitForRuns("orders/pay", 10));
  Worker &Target = Case.worker("orders");
  Target.Node->terminate();
  cr_assert(waitUntil([&] { return Target.Node->poll().has_value(); }));
  const std::int64_t Left = camphorpin::standins::monotonicMicros();
  cr_assert_eq(Target.Node->poll().value(), 0);
  const std::string Faults = Case.finishLoad();
  cr_assert(Faults.empty(), "%s", Faults.c_str());
  const std::vector<std::string> Interrupted =
      Oracle(Case.mesh()).interruptedRequests();
  cr_assert(Interrupted.empty(), "%s", describe(Interrupted).c_str());
  cr_assert(Case.recovers());
  const std::vector<Run> Late =
      Oracle::runsAfter(Case.mesh().ledgerPath(Target), Left);
  cr_assert_eq(Late.size(), 0);
}
