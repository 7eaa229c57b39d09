#include "Scenario.h"

#include <criterion/criterion.h>

using namespace camphorpin::process;

/// Guards against a mesh that stops serving while the log is down.
Test(LogFailure, outageStopsNoWork) {
  Scenario Case;
  cr_assert(Case.start());
  Case.mesh().controlLog({{"down", true}});
  Case.startLoad(8000, false);
  const std::string Faults = Case.finishLoad();
  cr_assert(Faults.empty(), "%s", Faults.c_str());
  cr_assert(Case.recovers());
  Case.mesh().controlLog(nlohmann::json::object());
  cr_assert(Case.recovers());
}

/// Guards against nodes that take an append for failed whose answer was lost,
/// and so never agree on homes.
Test(LogFailure, lostAnswersDoNotStopTheStart) {
  Scenario Case;
  Case.mesh().controlLog({{"loseAnswers", true}});
  cr_assert(Case.start());
  Case.startLoad(5000, false);
  const std::string Faults = Case.finishLoad();
  cr_assert(Faults.empty(), "%s", Faults.c_str());
  cr_assert(Case.recovers());
}
