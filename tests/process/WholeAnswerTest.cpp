#include "Scenario.h"

#include <criterion/criterion.h>

using namespace camphorpin::process;

/// Guards against answers that are mixed up between callers, torn, or refused
/// although nothing fails.
Test(WholeAnswer, everyCallerGetsItsOwnAnswer) {
  Scenario Case;
  cr_assert(Case.start());
  Case.startLoad(5000, false);
  const std::string Faults = Case.finishLoad();
  cr_assert(Faults.empty(), "%s", Faults.c_str());
  cr_assert_gt(Case.result().count("served"), 0);
  cr_assert_eq(Case.result().count("may-have-run"), 0);
}
