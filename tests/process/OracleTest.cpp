#include "Oracle.h"

#include <criterion/criterion.h>

using namespace camphorpin::process;

/// Guards against an oracle that finds nothing: a proxy that retries whatever
/// failed and calls every failure "not run" must be caught on both counts while
/// a service is slow.
Test(Oracle, catchesTheFaultsOfNaiveProxies) {
  Mesh Running(Mesh::shop(2));
  Running.useNaiveNodes();
  cr_assert(Running.startNodes());
  // Longer than the proxy's patience, so that every payment is repeated.
  for (Worker *Target : Running.workersOf("orders"))
    Running.controlBackend(*Target, {{"serviceMs", 1500}});
  Running.startLoad(
      {{"durationMs", 2000},
       {"streams",
        {{{"service", "orders"},
          {"operation", "pay"},
          {"rate", 10},
          {"deadlineMs", 8000},
          {"keyed", true}},
         {{"service", "catalogue"}, {"operation", "find"}, {"rate", 50}}}}});
  const LoadResult Result = Running.finishLoad();
  const Oracle Judge(Running);
  cr_assert_eq(Result.wrong(), 0, "%s", Result.Table.c_str());
  cr_assert_gt(Result.count("served"), 0);
  cr_assert_gt(Judge.repeatedKeys().size(), 0);
  cr_assert_gt(Judge.falseNotRuns().size(), 0);
  cr_assert_eq(Judge.inventedAnswers().size(), 0, "%s",
               describe(Judge.inventedAnswers()).c_str());
}
