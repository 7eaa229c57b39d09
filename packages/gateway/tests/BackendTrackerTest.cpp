#include "camphorpin/src/Gateway/BackendTracker.h"

#include <criterion/criterion.h>

using namespace camphorpin;

namespace {

constexpr const char *Address = "10.0.0.1:80";

BackendReport report(std::string Id, std::int64_t Started, std::uint64_t Seq,
                     BackendPhase Phase = BackendPhase::Ready) {
  BackendReport Result;
  Result.Id = std::move(Id);
  Result.Service = "shop";
  Result.Address = Address;
  Result.Slots = 5;
  Result.Phase = Phase;
  Result.Sequence = Seq;
  Result.StartedMillis = Started;
  return Result;
}

constexpr Instant Start = Instant::fromMillis(0);
/// Time between two reports of one backend server.
constexpr Duration ReportInterval = Duration::millis(1500);

} // namespace

// Guards a new incarnation against a report of the old one that was held up by
// a partition.
Test(BackendTracker, ignoresDelayedReportOfEarlierIncarnation) {
  BackendTracker Tracker(Address, "shop");
  cr_assert(Tracker.onReport(report("old", 100, 9), Start));
  cr_assert(Tracker.onReport(report("new", 200, 1), Start));
  cr_assert_not(Tracker.onReport(report("old", 100, 10), Start));
  cr_assert_not(
      Tracker.onReport(report("old", 100, 11, BackendPhase::Draining), Start));
  cr_assert_eq(Tracker.current().Id, std::string("new"));
  cr_assert_eq(Tracker.current().Phase, BackendPhase::Ready);
}

// Guards against new work for a server whose leaving was acknowledged.
Test(BackendTracker, drainingIsFinalWithinAnIncarnation) {
  BackendTracker Tracker(Address, "shop");
  Tracker.onReport(report("a", 100, 1), Start);
  cr_assert(
      Tracker.onReport(report("a", 100, 3, BackendPhase::Draining), Start));
  cr_assert_not(Tracker.onReport(report("a", 100, 2), Start));
  cr_assert_not(Tracker.onReport(report("a", 100, 4), Start));
  cr_assert_not(Tracker.accepting());
}

// Guards a server that starts again under its old id and counts anew.
Test(BackendTracker, treatsLaterStartWithSameIdAsNewServer) {
  BackendTracker Tracker(Address, "shop");
  Tracker.onReport(report("a", 100, 50), Start);
  Tracker.onGone("a", Start, Start);
  cr_assert_not(Tracker.accepting());
  cr_assert_not(Tracker.onReport(report("a", 100, 51), Start));
  cr_assert(Tracker.onReport(report("a", 300, 1), Start));
  cr_assert(Tracker.onProbe({true, "a", 5}));
  cr_assert(Tracker.accepting());
}

// Guards against reports of servers that are not on this host.
Test(BackendTracker, ignoresReportsOfOtherAddressOrService) {
  BackendTracker Tracker(Address, "shop");
  BackendReport Foreign = report("a", 100, 1);
  Foreign.Address = "10.0.0.2:80";
  cr_assert_not(Tracker.onReport(Foreign, Start));
  BackendReport Other = report("b", 100, 1);
  Other.Service = "bank";
  cr_assert_not(Tracker.onReport(Other, Start));
  cr_assert_not(Tracker.accepting());
}

// Guards against serving nothing until the first report after a restart, and
// against using a server that a probe shows as leaving.
Test(BackendTracker, probeIdentifiesOnlyAHealthyServer) {
  BackendTracker Tracker(Address, "shop");
  cr_assert_not(Tracker.onProbe({false, "a", 5}));
  cr_assert(Tracker.onProbe({true, "a", 5}));
  cr_assert(Tracker.accepting());
  cr_assert(
      Tracker.onReport(report("a", 100, 7, BackendPhase::Draining), Start));
  cr_assert_not(Tracker.onProbe({true, "a", 5}));
  cr_assert_not(Tracker.accepting());
}

// Guards against new work for a server that left: a report from before may
// arrive seconds later, at a process that knows the server only by a probe.
Test(BackendTracker, delayedReportDoesNotReviveADepartedServer) {
  const Instant Departure = Instant::fromMillis(5000);
  BackendTracker Tracker(Address, "shop");
  cr_assert(Tracker.onProbe({true, "a", 5}));
  cr_assert(Tracker.onGone("a", Departure, Start));
  cr_assert_not(Tracker.onReport(report("a", 4000, 21), Start));
  cr_assert_not(Tracker.needsProbe());
  cr_assert_not(Tracker.accepting());
  // A later start under the same id is a new server.
  cr_assert(Tracker.onReport(report("a", 6000, 1), Start));
  cr_assert(Tracker.onProbe({true, "a", 5}));
  cr_assert(Tracker.accepting());
}

// Guards against the same where the server left before this process had heard
// of it at all.
Test(BackendTracker, probeConfirmsTheFirstReport) {
  BackendTracker Tracker(Address, "shop");
  cr_assert(Tracker.onReport(report("a", 100, 7), Start));
  cr_assert_not(Tracker.accepting());
  cr_assert(Tracker.needsProbe());
  cr_assert_not(Tracker.onProbe({false, "a", 5}));
  cr_assert_not(Tracker.onProbe({true, "b", 5}));
  cr_assert_not(Tracker.accepting());
  cr_assert(Tracker.onProbe({true, "a", 5}));
  cr_assert(Tracker.accepting());
  cr_assert_not(Tracker.needsProbe());
}

// Guards a server whose health check wrongly fails against getting no work.
Test(BackendTracker, laterReportConfirmsTheFirst) {
  BackendTracker Tracker(Address, "shop");
  cr_assert(Tracker.onReport(report("a", 100, 7), Start));
  // Two reports that were held up together say no more than one.
  cr_assert_not(
      Tracker.onReport(report("a", 100, 8), Start + Duration::millis(100)));
  cr_assert_not(Tracker.accepting());
  cr_assert(Tracker.onReport(report("a", 100, 9), Start + ReportInterval));
  cr_assert(Tracker.accepting());
}

// Guards a server that a probe has shown against a pause when its first report
// tells its start.
Test(BackendTracker, firstReportAfterAProbeKeepsServerAccepting) {
  BackendTracker Tracker(Address, "shop");
  cr_assert(Tracker.onProbe({true, "a", 5}));
  cr_assert_not(Tracker.onReport(report("a", 100, 7), Start));
  cr_assert(Tracker.accepting());
  cr_assert_eq(Tracker.current().StartedMillis, 100);
}

// Guards what was learnt about a backend server against being forgotten at each
// report, and against being kept for the next one.
Test(BackendReport, distinguishesIncarnations) {
  cr_assert(report("a", 100, 1).sameIncarnation(report("a", 100, 2)));
  cr_assert(report("a", 0, 1).sameIncarnation(report("a", 100, 2)));
  cr_assert_not(report("a", 100, 1).sameIncarnation(report("a", 200, 1)));
  cr_assert_not(report("a", 100, 1).sameIncarnation(report("b", 100, 1)));
}
