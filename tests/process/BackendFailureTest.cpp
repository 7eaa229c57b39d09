#include "Scenario.h"
#include "TcpForwarder.h"

#include <criterion/criterion.h>

using namespace camphorpin::process;

/// Guards against calling work "not run" that a backend server had begun when
/// it crashed.
Test(BackendFailure, killedBackendServerLeavesVerdictsTrue) {
  Scenario Case;
  cr_assert(Case.start());
  Case.startLoad(8000, false);
  cr_assert(Case.waitForRuns("lots/reserve", 10));
  Worker &Target = Case.worker("lots");
  Target.Backend->kill();
  cr_assert(Case.waitForRuns("catalogue/find", 100));
  Case.mesh().startBackend(Target);
  const std::string Faults = Case.finishLoad();
  cr_assert(Faults.empty(), "%s", Faults.c_str());
  cr_assert(Case.recovers());
}

/// Guards against waiting forever on connections that are open but carry
/// nothing more, while new connections work.
Test(BackendFailure, silentConnectionsAreReplaced) {
  std::unique_ptr<TcpForwarder> Forwarder;
  Scenario Case(2, [&](Worker &Target) {
    if (Target.Service != "catalogue" || Forwarder)
      return;
    Forwarder = std::make_unique<TcpForwarder>(Target.Ip, Target.Ip,
                                               Target.BackendPort);
    Target.BackendAddress = Target.address(Forwarder->port());
  });
  cr_assert(Case.start());
  Case.startLoad(8000, false);
  cr_assert(Case.waitForRuns("catalogue/find", 50));
  const std::size_t Before = Forwarder->accepted();
  Forwarder->silenceOpenConnections();
  const std::string Faults = Case.finishLoad();
  cr_assert(Faults.empty(), "%s", Faults.c_str());
  cr_assert(Case.recovers());
  cr_assert_gt(Forwarder->accepted(), Before,
               "%zu connections, %zu bytes sent on silent ones",
               Forwarder->accepted(), Forwarder->bytesOnSilentConnections());
}
