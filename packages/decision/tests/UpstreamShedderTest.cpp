// Guards shedding at the calling node: order of the ranks, recovery, and that a
// single overloaded peer or caller does not affect the others.
#include "camphorpin/Admission.h"

#include <criterion/criterion.h>
#include <string>

using namespace camphorpin;

namespace {

const CallTarget Target{ServiceName("orders"), OperationName("pay")};

struct Fixture {
  void answer(int Peer, int Level, bool Accepted = true,
              std::string_view Caller = "a", int CallRank = 2) {
    Shedder.observe({.Target = Target,
                     .Peer = {.Address = {1, static_cast<std::uint16_t>(Peer)}},
                     .Rank = Rank(static_cast<std::uint8_t>(CallRank)),
                     .Caller = Caller,
                     .Level = Rank(static_cast<std::uint8_t>(Level)),
                     .Accepted = Accepted},
                    Now);
  }
  /// \returns the calls that are sent out of 1,000 within a second, while the
  /// peer can accept \p Capacity of them.
  int sentOf1000(int CallRank, int Level, int Capacity) {
    int Sent = 0;
    double Free = 0;
    for (int Call = 0; Call < 1000; ++Call) {
      Now = Now + Duration::millis(1);
      Free = std::min(1.0, Free + Capacity / 1000.0);
      if (!Shedder.admit(Target, Rank(static_cast<std::uint8_t>(CallRank)), "a",
                         Now))
        continue;
      ++Sent;
      answer(1, Level, Free >= 1, "a", CallRank);
      Free -= Free >= 1 ? 1 : 0;
    }
    return Sent;
  }

  UpstreamShedder Shedder;
  Instant Now = Instant::fromMillis(1000);
};

} // namespace

Test(UpstreamShedder, shedsOnlyRanksLessUrgentThanTheLevel) {
  Fixture Node;
  Node.answer(1, 1);
  cr_assert_eq(Node.sentOf1000(0, 1, 0), 1000);
  cr_assert_eq(Node.sentOf1000(1, 1, 0), 1000);
  cr_assert_lt(Node.sentOf1000(2, 1, 0), 100);
}

// When every other rank is shed, urgent calls are limited to about four times
// what is accepted, so that no hop does work for calls that are refused further
// down.
Test(UpstreamShedder, urgentCallsAreLimitedOnceAllOtherRanksAreShed) {
  Fixture Node;
  Node.answer(1, 0);
  Node.sentOf1000(0, 0, 100);
  const int Urgent = Node.sentOf1000(0, 0, 100);
  cr_assert(Urgent > 320 && Urgent < 480, "sent %d", Urgent);
  // The first answer brings the new level.
  cr_assert_geq(Node.sentOf1000(0, 1, 100), 990, "others are not all shed");
}

// Without probes a service that has recovered would remain shed for as long as
// its level is reported.
Test(UpstreamShedder, resumesSendingAfterRecovery) {
  Fixture Node;
  Node.answer(1, 0);
  cr_assert_lt(Node.sentOf1000(2, 0, 0), 100);
  Node.sentOf1000(2, 0, 1000);
  Node.sentOf1000(2, 0, 1000);
  cr_assert_geq(Node.sentOf1000(2, 0, 1000), 900, "accepted calls open it");
  cr_assert_lt(Node.sentOf1000(2, 0, 0), 600);
  cr_assert_geq(Node.sentOf1000(2, 2, 0), 900, "the level says so");
}

Test(UpstreamShedder, levelsExpireAndLeastUrgentLevelOfAllPeersCounts) {
  Fixture Node;
  Node.answer(1, 0);
  cr_assert_eq(Node.Shedder.level(Target, Node.Now).index(), 0);
  Node.answer(2, 2);
  cr_assert_eq(Node.Shedder.level(Target, Node.Now).index(), 2);
  Node.Now = Node.Now + UpstreamShedder::LevelLifetime;
  Node.answer(1, 0);
  Node.Now = Node.Now + Duration::millis(1);
  cr_assert_eq(Node.Shedder.level(Target, Node.Now).index(), 0,
               "peer 2 was not heard from for two seconds");
  Node.Now = Node.Now + UpstreamShedder::LevelLifetime;
  cr_assert_eq(Node.Shedder.level(Target, Node.Now).index(), MaxRanks - 1);
}

Test(UpstreamShedder, callerWithinItsShareIsNotShed) {
  Fixture Node;
  Node.answer(1, 0);
  int Flood = 0;
  int Small = 0;
  for (int Call = 0; Call < 5000; ++Call) {
    Node.Now = Node.Now + Duration::millis(1);
    if (Node.Shedder.admit(Target, Rank(1), "flooder", Node.Now)) {
      ++Flood;
      Node.answer(1, 0, Call % 10 == 0, "flooder", 1);
    }
    if (Call % 50 != 0 || !Node.Shedder.admit(Target, Rank(1), "b", Node.Now))
      continue;
    ++Small;
    Node.answer(1, 0, true, "b", 1);
  }
  cr_assert_geq(Small, 99);
  cr_assert_lt(Flood, 2500);
}

Test(UpstreamShedder, memoryIsBounded) {
  Fixture Node;
  for (int Number = 0; Number < 2000; ++Number) {
    const CallTarget NewTarget{ServiceName("s" + std::to_string(Number)),
                               OperationName("o")};
    Node.Shedder.observe(
        {.Target = NewTarget, .Rank = Rank(1), .Level = Rank(0)}, Node.Now);
    const bool Known = Node.Shedder.level(NewTarget, Node.Now) == Rank(0);
    cr_assert_eq(Known, Number < int(UpstreamShedder::MaxTargets));
    cr_assert(Node.Shedder.admit(NewTarget, Rank(1), "a", Node.Now));
  }
}
