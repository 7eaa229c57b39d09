#include "camphorpin/src/Gateway/BackendAdmission.h"

#include <criterion/criterion.h>

using namespace camphorpin;

namespace {

/// A host whose backend server runs one request at a time, while a caller on
/// the host sends requests that are refused.
class SimulatedHost {
public:
  /// \param MakesCalls each run makes a call that ends with it.
  explicit SimulatedHost(bool MakesCalls) : MakesCalls(MakesCalls) {
    Control.setSlots(20);
  }

  /// Plays \p Count runs, the last one with a call that is refused for
  /// overload.
  /// \param Status the answer of the last run.
  /// \returns why the last run would not do better elsewhere.
  RefusalReason simulate(int Count, std::uint16_t Status) {
    for (int Index = 1; Index < Count; ++Index)
      run(200);
    return run(Status);
  }

  double bound() const { return Control.bound("r"); }

private:
  RefusalReason run(std::uint16_t Status) {
    SlotRequest Request;
    Request.Id = ++LastId;
    Request.Route = "r";
    Request.Objective = Duration::seconds(1);
    Request.Deadline = Now + Duration::seconds(2);
    Control.offer(Request, Now);
    Control.onDeadlineGiven(Request.Id, Request.Deadline);
    Now = Now + Duration::millis(5);
    if (MakesCalls)
      request("called", Request.Deadline, /*Fails=*/Status != 200);
    // Callers send less often than runs end.
    if (LastId % 2 == 0)
      request("other", Now + Duration::millis(700), /*Fails=*/true);
    PeerAnswer Answer;
    Answer.Outcome = CallOutcome::Answered;
    Answer.StatusCode = Status;
    return Control.end(Request.Id, Answer, Now);
  }

  void request(const std::string &Route, Instant Deadline, bool Fails) {
    const bool Nested = Control.onOutboundRequest(Route, Deadline);
    if (Fails)
      Control.onOutboundFailure(Nested, CallFailure::Overload, Now);
  }

  BackendAdmission Control;
  bool MakesCalls;
  std::uint64_t LastId = 0;
  Instant Now = Instant::fromMillis(1000);
};

} // namespace

// Guards a route that calls no other service against a bound for failures of
// its own, while requests of callers on its host are refused elsewhere.
Test(BackendAdmission, doesNotLimitRouteWithoutNestedCalls) {
  SimulatedHost Host(/*MakesCalls=*/false);
  cr_assert_eq(Host.simulate(50, 500), RefusalReason::None);
  cr_assert_eq(Host.bound(), 0);
  // Nor does a timeout blame a service below.
  cr_assert_eq(Host.simulate(50, 504), RefusalReason::None);
  cr_assert_eq(Host.bound(), 0);
}

// Guards an overloaded service against more runs that would fail for it.
Test(BackendAdmission, failedNestedCallLimitsTheRoute) {
  SimulatedHost Host(/*MakesCalls=*/true);
  cr_assert_eq(Host.simulate(50, 500), RefusalReason::Shed);
  cr_assert_gt(Host.bound(), 0);
}

// Guards the first runs of a host: a failed run may be that of a call before
// its calls are recognized.
Test(BackendAdmission, assumesDependencyFailureWhileRunsAreFew) {
  SimulatedHost Host(/*MakesCalls=*/true);
  cr_assert_eq(Host.simulate(3, 500), RefusalReason::Shed);
  SimulatedHost Restarted(/*MakesCalls=*/false);
  cr_assert_eq(Restarted.simulate(6, 500), RefusalReason::Shed);
}

// Guards a new backend server against getting less because the one before it
// failed its runs.
Test(BackendAdmission, newBackendServerResetsTheFaultRate) {
  BackendAdmission Control;
  Control.setSlots(4);
  PeerAnswer Failed;
  Failed.Reason = RefusalReason::BackendFailed;
  for (std::uint64_t Id = 1; Id <= 50; ++Id) {
    SlotRequest Request;
    Request.Id = Id;
    Request.Route = "r";
    Control.offer(Request, Instant());
    Control.end(Id, Failed, Instant());
  }
  cr_assert_gt(Control.status().FaultPart, 0.8);
  Control.onNewBackend();
  cr_assert_eq(Control.status().FaultPart, 0.0);
}
