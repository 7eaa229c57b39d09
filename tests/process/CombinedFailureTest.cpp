#include "Scenario.h"
#include "TcpForwarder.h"

#include <criterion/criterion.h>

using namespace camphorpin::process;

/// Guards against a home that is frozen during a log outage and whose keys are
/// run elsewhere, or again when it resumes.
Test(CombinedFailure, frozenHomeDuringLogOutage) {
  Scenario Case;
  cr_assert(Case.start());
  Case.startLoad(12000, true);
  cr_assert(Case.waitForRuns("orders/pay", 10));
  Case.mesh().controlLog({{"down", true}});
  Worker &Target = Case.worker("orders");
  Target.Node->freeze();
  cr_assert(Case.waitForRuns("catalogue/find", 200));
  Target.Node->resume();
  cr_assert(Case.waitForRuns("catalogue/find", 50));
  Case.mesh().controlLog(nlohmann::json::object());
  const std::string Faults = Case.finishLoad();
  cr_assert(Faults.empty(), "%s", Faults.c_str());
  cr_assert(Case.recovers());
}

/// Guards against two takeovers of a killed home's keys, because the answer to
/// the change of homes was lost.
Test(CombinedFailure, killedNodeAndLostLogAnswers) {
  Scenario Case;
  cr_assert(Case.start());
  Case.startLoad(12000, true);
  cr_assert(Case.waitForRuns("orders/pay", 10));
  Case.mesh().controlLog({{"loseAnswers", true}});
  Case.worker("orders").Node->kill();
  Case.worker("dispatch").Node->kill();
  cr_assert(Case.waitForRuns("catalogue/find", 200));
  Case.mesh().controlLog(nlohmann::json::object());
  const std::string Faults = Case.finishLoad();
  cr_assert(Faults.empty(), "%s", Faults.c_str());
  cr_assert(Case.recovers());
}

/// Guards against a graceful shutdown that hangs on, or loses, requests whose
/// connection to the backend server is silent.
Test(CombinedFailure, shutdownDuringSilentConnections) {
  std::unique_ptr<TcpForwarder> Forwarder;
  Scenario Case(2, [&](Worker &Target) {
    if (Target.Service != "orders" || Forwarder)
      return;
    Forwarder = std::make_unique<TcpForwarder>(Target.Ip, Target.Ip,
                                               Target.BackendPort);
    Target.BackendAddress = Target.address(Forwarder->port());
  });
  cr_assert(Case.start());
  Case.startLoad(10000, false);
  cr_assert(Case.waitForRuns("orders/pay", 10));
  Forwarder->silenceOpenConnections();
  Worker &Target = Case.worker("orders");
  Target.Node->terminate();
  cr_assert(waitUntil([&] { return Target.Node->poll().has_value(); }));
  cr_assert_eq(Target.Node->poll().value(), 0);
  const std::string Faults = Case.finishLoad();
  cr_assert(Faults.empty(), "%s", Faults.c_str());
  cr_assert(Case.recovers());
}
