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
/// Interval of the reports of one backend server.
constexpr Duration ReportInterval = Duration::millis(1500);

} // namespace

// Guards against a report of an old incarnation, delayed by a network
// partition, that replaces the new one.
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

// Guards against new requests for a server whose departure was acknowledged.
Test(BackendTracker, drainingIsFinalWithinAnIncarnation) {
  BackendTracker Tracker(Address, "shop");
  Tracker.onReport(report("a", 100, 1), Start);
  cr_assert(
      Tracker.onReport(report("a", 100, 3, BackendPhase::Draining), Start));
  cr_assert_not(Tracker.onReport(report("a", 100, 2), Start));
  cr_assert_not(Tracker.onReport(report("a", 100, 4), Start));
  cr_assert_not(Tracker.accepting());
}

// Another writer has sent a report under the server's name.
Test(BackendTracker, departureHoldsAfterAReportWithAWrongNumber) {
  BackendTracker Tracker(Address, "shop");
  Tracker.onReport(report("a", 100, 1), Start);
  Tracker.onReport(report("a", 100, ~0ULL), Start);
  cr_assert(
      Tracker.onReport(report("a", 100, 3, BackendPhase::Draining), Start));
  cr_assert_not(Tracker.accepting());
  cr_assert_eq(Tracker.departures().size(), 1U);
  cr_assert_not(Tracker.onReport(report("a", 100, ~0ULL), Start));
  cr_assert_not(Tracker.accepting());
}

// Guards against ignoring a server that restarts with the same id and restarts
// its sequence numbers.
Test(BackendTracker, treatsLaterStartWithSameIdAsNewServer) {
  BackendTracker Tracker(Address, "shop");
  Tracker.onReport(report("a", 100, 50), Start);
  Tracker.onDeparture("a", Start, Start);
  cr_assert_not(Tracker.accepting());
  cr_assert_not(Tracker.onReport(report("a", 100, 51), Start));
  cr_assert(Tracker.onReport(report("a", 300, 1), Start));
  cr_assert(Tracker.onProbe({true, "a", 5}));
  cr_assert(Tracker.accepting());
}

// Guards against accepting reports of servers that are not on this host.
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

// Guards against refusing all requests between a restart of the node and the
// first report, and against using a server whose report says that it is
// draining because it still passes the health check.
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

// Guards against new requests for a server that has departed: a delayed report
// may arrive seconds later, at a process that knows the server only from a
// health check.
Test(BackendTracker, delayedReportDoesNotReviveADepartedServer) {
  const Instant Departure = Instant::fromMillis(5000);
  BackendTracker Tracker(Address, "shop");
  cr_assert(Tracker.onProbe({true, "a", 5}));
  cr_assert(Tracker.onDeparture("a", Departure, Start));
  cr_assert_not(Tracker.onReport(report("a", 4000, 21), Start));
  cr_assert_not(Tracker.needsProbe());
  cr_assert_not(Tracker.accepting());
  // A later start time with the same id is a new server.
  cr_assert(Tracker.onReport(report("a", 6000, 1), Start));
  cr_assert(Tracker.onProbe({true, "a", 5}));
  cr_assert(Tracker.accepting());
}

// Guards against new requests for a server that departed before this process
// had any information about it.
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

// Guards against a server that gets no requests because its health check fails
// wrongly.
Test(BackendTracker, laterReportConfirmsTheFirst) {
  BackendTracker Tracker(Address, "shop");
  cr_assert(Tracker.onReport(report("a", 100, 7), Start));
  // Two reports that were delayed together confirm no more than one.
  cr_assert_not(
      Tracker.onReport(report("a", 100, 8), Start + Duration::millis(100)));
  cr_assert_not(Tracker.accepting());
  cr_assert(Tracker.onReport(report("a", 100, 9), Start + ReportInterval));
  cr_assert(Tracker.accepting());
}

// Guards against an interruption when the first report contains the start time
// of a server that a health check has already identified.
Test(BackendTracker, firstReportAfterAProbeKeepsServerAccepting) {
  BackendTracker Tracker(Address, "shop");
  cr_assert(Tracker.onProbe({true, "a", 5}));
  cr_assert_not(Tracker.onReport(report("a", 100, 7), Start));
  cr_assert(Tracker.accepting());
  cr_assert_eq(Tracker.current().StartedMillis, 100);
}

// Guards against ignoring a new server for good because the wall clock was set
// back between the starts of the earlier server and the new one.
Test(BackendTracker, serverStartedAfterClockWasSetBackIsUsed) {
  BackendTracker Tracker(Address, "shop");
  Tracker.onReport(report("old", 60000, 9), Start);
  Tracker.onProbe({true, "old", 5});
  cr_assert_not(Tracker.onReport(report("new", 30000, 1), Start));
  cr_assert(Tracker.needsProbe());
  cr_assert(Tracker.onProbe({true, "new", 5}));
  cr_assert_eq(Tracker.current().Id, std::string("new"));
  cr_assert(Tracker.accepting());
}

// Guards against sending requests to a server whose drain was acknowledged: its
// reports have an earlier start time, because the wall clock was set back.
Test(BackendTracker, drainIsNoticedAfterClockWasSetBack) {
  BackendTracker Tracker(Address, "shop");
  Tracker.onReport(report("a", 60000, 9), Start);
  Tracker.onProbe({true, "a", 5});
  Instant Now = Start + ReportInterval;
  Tracker.onReport(report("a", 30000, 1), Now);
  Now = Now + ReportInterval;
  Tracker.onReport(report("a", 30000, 2), Now);
  Now = Now + ReportInterval;
  Tracker.onReport(report("a", 30000, 3, BackendPhase::Draining), Now);
  cr_assert_not(Tracker.accepting());
}

// Guards the current server against delayed reports of an earlier one that keep
// arriving.
Test(BackendTracker, delayedReportsDontReplaceAReportingServer) {
  BackendTracker Tracker(Address, "shop");
  Tracker.onReport(report("new", 200, 1), Start);
  Tracker.onProbe({true, "new", 5});
  for (std::uint64_t Count = 0; Count < 6; ++Count) {
    const Instant Now = Start + ReportInterval * static_cast<double>(Count);
    Tracker.onReport(report("old", 100, 10 + Count), Now);
    Tracker.onReport(report("new", 200, 2 + Count), Now);
  }
  cr_assert_eq(Tracker.current().Id, std::string("new"));
  cr_assert(Tracker.accepting());
}

// Guards against a departed server that stays out of use after its restart,
// because the wall clock was set back meanwhile.
Test(BackendTracker, restartAfterDepartureAndClockSetBackIsUsed) {
  BackendTracker Tracker(Address, "shop");
  Tracker.onReport(report("a", 60000, 9), Start);
  Tracker.onDeparture("a", Start, Start);
  cr_assert_not(Tracker.onReport(report("a", 60000, 10), Start));
  for (std::uint64_t Count = 1; Count <= 3; ++Count)
    Tracker.onReport(report("a", 30000, Count),
                     Start + ReportInterval * static_cast<double>(Count));
  cr_assert(Tracker.accepting());
}

// Guards against new requests for a server whose departure an earlier process
// of the node has acknowledged: neither a health check that passes wrongly nor
// delayed reports bring it back.
Test(BackendTracker, restoredDepartureIsFinal) {
  BackendTracker Earlier(Address, "shop");
  Earlier.onReport(report("a", 100, 1), Start);
  Earlier.onReport(report("a", 100, 2, BackendPhase::Draining), Start);
  BackendTracker Later(Address, "shop");
  Later.restoreDepartures(Earlier.departures());
  cr_assert_not(Later.onProbe({true, "a", 5}));
  Later.onReport(report("a", 100, 1), Start);
  Later.onReport(report("a", 100, 2), Start + ReportInterval);
  cr_assert_not(Later.accepting());
  // Its successor is used.
  Later.onReport(report("a", 300, 1), Start + ReportInterval);
  Later.onProbe({true, "a", 5});
  cr_assert(Later.accepting());
}

// Guards against a server that stays in use because the store has answered only
// after a health check had identified it.
Test(BackendTracker, lateRestoredDepartureEndsUse) {
  BackendTracker Tracker(Address, "shop");
  Tracker.onProbe({true, "a", 5});
  const std::vector<BackendDeparture> Earlier = {{"a", 100}};
  cr_assert(Tracker.restoreDepartures(Earlier));
  cr_assert_not(Tracker.accepting());
}

// Guards against discarding measurements of a backend server at each report,
// and against keeping them for the next incarnation.
Test(BackendReport, distinguishesIncarnations) {
  cr_assert(report("a", 100, 1).sameIncarnation(report("a", 100, 2)));
  cr_assert(report("a", 0, 1).sameIncarnation(report("a", 100, 2)));
  cr_assert_not(report("a", 100, 1).sameIncarnation(report("a", 200, 1)));
  cr_assert_not(report("a", 100, 1).sameIncarnation(report("b", 100, 1)));
}
