#include "camphorpin/src/Gateway/BackendLedger.h"

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

} // namespace

// Guards a new incarnation against a report of the old one that was held up by
// a partition.
Test(BackendLedger, lateReportOfAnEarlierStartIsIgnored) {
  BackendLedger Ledger(Address, "shop");
  cr_assert(Ledger.onReport(report("old", 100, 9)));
  cr_assert(Ledger.onReport(report("new", 200, 1)));
  cr_assert_not(Ledger.onReport(report("old", 100, 10)));
  cr_assert_not(
      Ledger.onReport(report("old", 100, 11, BackendPhase::Draining)));
  cr_assert(Ledger.accepting());
  cr_assert_eq(Ledger.current().Id, std::string("new"));
}

// Guards against new work for a server whose leaving was acknowledged.
Test(BackendLedger, drainingIsFinalForOneStart) {
  BackendLedger Ledger(Address, "shop");
  Ledger.onReport(report("a", 100, 1));
  cr_assert(Ledger.onReport(report("a", 100, 3, BackendPhase::Draining)));
  cr_assert_not(Ledger.onReport(report("a", 100, 2)));
  cr_assert_not(Ledger.onReport(report("a", 100, 4)));
  cr_assert_not(Ledger.accepting());
}

// Guards a server that starts again under its old id and counts anew.
Test(BackendLedger, laterStartUnderTheSameIdIsANewServer) {
  BackendLedger Ledger(Address, "shop");
  Ledger.onReport(report("a", 100, 50));
  Ledger.onGone("a");
  cr_assert_not(Ledger.accepting());
  cr_assert_not(Ledger.onReport(report("a", 100, 51)));
  cr_assert(Ledger.onReport(report("a", 300, 1)));
  cr_assert(Ledger.accepting());
}

// Guards against reports of servers that are not on this host.
Test(BackendLedger, otherAddressOrServiceIsIgnored) {
  BackendLedger Ledger(Address, "shop");
  BackendReport Foreign = report("a", 100, 1);
  Foreign.Address = "10.0.0.2:80";
  cr_assert_not(Ledger.onReport(Foreign));
  BackendReport Other = report("b", 100, 1);
  Other.Service = "bank";
  cr_assert_not(Ledger.onReport(Other));
  cr_assert_not(Ledger.accepting());
}

// Guards against serving nothing until the first report after a restart, and
// against using a server that a probe shows as leaving.
Test(BackendLedger, probeTellsTheIdentityOnlyOfAHealthyServer) {
  BackendLedger Ledger(Address, "shop");
  cr_assert_not(Ledger.onProbe({false, "a", 5}));
  cr_assert(Ledger.onProbe({true, "a", 5}));
  cr_assert(Ledger.accepting());
  cr_assert(Ledger.onReport(report("a", 100, 7, BackendPhase::Draining)));
  cr_assert_not(Ledger.onProbe({true, "a", 5}));
  cr_assert_not(Ledger.accepting());
}
