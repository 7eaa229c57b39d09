#include "Scenario.h"

#include <criterion/criterion.h>

using namespace camphorpin::process;

/// Guards against untrue verdicts and repeated payments when a node ends
/// abruptly, and against a mesh that does not recover without it.
Test(NodeFailure, killedNodeLeavesVerdictsTrue) {
  Scenario Case;
  cr_assert(Case.start());
  Case.startLoad(8000, true);
  cr_assert(Case.waitForRuns("orders/pay", 10));
  Case.worker("orders").Node->kill();
  Case.worker("catalogue").Node->kill();
  const std::string Faults = Case.finishLoad();
  cr_assert(Faults.empty(), "%s", Faults.c_str());
  cr_assert(Case.recovers());
}

/// Guards against a killed node whose successor at the same address is not
/// taken in.
Test(NodeFailure, restartedNodeServesAgain) {
  Scenario Case;
  cr_assert(Case.start());
  Case.startLoad(8000, true);
  cr_assert(Case.waitForRuns("lots/reserve", 10));
  Worker &Target = Case.worker("lots");
  Target.Node->kill();
  Case.mesh().startNode(Target);
  const std::string Faults = Case.finishLoad();
  cr_assert(Faults.empty(), "%s", Faults.c_str());
  cr_assert(waitUntil([&] {
    return Case.mesh().serves(Target, Case.mesh().workers().size());
  }));
  cr_assert(Case.recovers());
}

/// Guards against a node that resumes after a pause and runs what others have
/// taken over meanwhile.
Test(NodeFailure, frozenNodeResumesWithoutRepeating) {
  Scenario Case;
  cr_assert(Case.start());
  Case.startLoad(12000, true);
  cr_assert(Case.waitForRuns("orders/pay", 10));
  Worker &Target = Case.worker("orders");
  Target.Node->freeze();
  // The others go on working meanwhile.
  cr_assert(Case.waitForRuns("catalogue/find", 200));
  Target.Node->resume();
  const std::string Faults = Case.finishLoad();
  cr_assert(Faults.empty(), "%s", Faults.c_str());
  cr_assert(Case.recovers());
}
