#include "camphorpin/src/Gateway/BackendAdmission.h"

#include <criterion/criterion.h>

using namespace camphorpin;

namespace {

/// A host whose backend server executes one request at a time, while a caller
/// on the host sends requests that are refused.
class SimulatedHost {
public:
  /// \param MakesCalls each run makes a nested call that ends with it.
  explicit SimulatedHost(bool MakesCalls) : MakesCalls(MakesCalls) {
    Admission.setSlots(20);
  }

  /// Simulates \p Count runs; the call of the last one is refused for overload
  /// unless \p Status is 200.
  /// \param Status the status code of the last run.
  /// \returns the reason why the last run would fail on another server as well.
  RefusalReason simulate(int Count, std::uint16_t Status) {
    for (int Index = 1; Index < Count; ++Index)
      run(200);
    return run(Status);
  }

  double routeLimit() const { return Admission.routeLimit("r"); }

private:
  RefusalReason run(std::uint16_t Status) {
    SlotRequest Request;
    Request.Id = ++LastId;
    Request.Route = "r";
    Request.Objective = Duration::seconds(1);
    Request.Deadline = Now + Duration::seconds(2);
    Admission.offer(Request, Now);
    Admission.onRunStart(Request.Id, Request.Deadline);
    Now = Now + Duration::millis(5);
    if (MakesCalls)
      request("called", Request.Deadline, /*Fails=*/Status != 200);
    // Callers send fewer requests than there are runs.
    if (LastId % 2 == 0)
      request("other", Now + Duration::millis(700), /*Fails=*/true);
    PeerAnswer Answer;
    Answer.Outcome = CallOutcome::Answered;
    Answer.StatusCode = Status;
    return Admission.end(Request.Id, Answer, Now);
  }

  void request(const std::string &Route, Instant Deadline, bool Fails) {
    const bool Nested = Admission.onOutboundRequest(Route, Deadline);
    if (Fails)
      Admission.onOutboundFailure(Nested, CallFailure::Overload, Now);
  }

  BackendAdmission Admission;
  bool MakesCalls;
  std::uint64_t LastId = 0;
  Instant Now = Instant::fromMillis(1000);
};

} // namespace

// Guards against limiting a route that makes no nested calls for its own
// failures while requests of callers on its host are refused elsewhere.
Test(BackendAdmission, doesNotLimitRouteWithoutNestedCalls) {
  SimulatedHost Host(/*MakesCalls=*/false);
  cr_assert_eq(Host.simulate(50, 500), RefusalReason::None);
  cr_assert_eq(Host.routeLimit(), 0);
  // A timeout is not attributed to a called service either.
  cr_assert_eq(Host.simulate(50, 504), RefusalReason::None);
  cr_assert_eq(Host.routeLimit(), 0);
}

// Guards an overloaded service against further runs that would fail because of
// it.
Test(BackendAdmission, failedNestedCallLimitsTheRoute) {
  SimulatedHost Host(/*MakesCalls=*/true);
  cr_assert_eq(Host.simulate(50, 500), RefusalReason::Shed);
  cr_assert_gt(Host.routeLimit(), 0);
}

// Guards against ignoring a failed dependency during the first runs of a host,
// before nested calls are detected.
Test(BackendAdmission, assumesDependencyFailureWhileRunsAreFew) {
  SimulatedHost Host(/*MakesCalls=*/true);
  cr_assert_eq(Host.simulate(3, 500), RefusalReason::Shed);
  SimulatedHost Restarted(/*MakesCalls=*/false);
  cr_assert_eq(Restarted.simulate(6, 500), RefusalReason::Shed);
}

// Guards against a new backend server that gets fewer requests because of the
// failures of its predecessor.
Test(BackendAdmission, newBackendServerResetsTheFailureRate) {
  BackendAdmission Admission;
  Admission.setSlots(4);
  PeerAnswer Failed;
  Failed.Reason = RefusalReason::BackendFailed;
  for (std::uint64_t Id = 1; Id <= 50; ++Id) {
    SlotRequest Request;
    Request.Id = Id;
    Request.Route = "r";
    Admission.offer(Request, Instant());
    Admission.end(Id, Failed, Instant());
  }
  cr_assert_gt(Admission.status().FailureRate, 0.8);
  Admission.onNewBackend();
  cr_assert_eq(Admission.status().FailureRate, 0.0);
}
