#include "Scenario.h"

#include <criterion/criterion.h>

using namespace camphorpin::process;

/// Guards against a payment that runs again when its caller sends it twice at
/// once and again later, each time through another node, because the answer is
/// slow.
Test(AtMostOnce, resendsThroughOtherNodesRunOnce) {
  Scenario Case;
  cr_assert(Case.start());
  for (Worker *Target : Case.mesh().workersOf("orders"))
    Case.mesh().controlBackend(*Target, {{"serviceMs", 1200}});
  Case.mesh().startLoad({{"seed", 5},
                         {"durationMs", 3000},
                         {"lossAllowed", false},
                         {"streams",
                          {{{"service", "orders"},
                            {"operation", "pay"},
                            {"rank", "urgent"},
                            {"rate", 10},
                            {"deadlineMs", 1000},
                            {"keyed", true},
                            {"duplicates", 1.0},
                            {"resends", 3}}}}});
  const std::string Faults = Case.finishLoad();
  cr_assert(Faults.empty(), "%s", Faults.c_str());
  cr_assert_gt(Oracle(Case.mesh()).runsOf("orders/pay"), 0);
}
