// Guards the service of keyed work through planned changes, and the verdicts of
// a home; prints the figures of claims.
#include "ClaimsWorld.h"

#include <cmath>
#include <criterion/criterion.h>
#include <cstdio>

using namespace camphorpin;
using namespace camphorpin::test;

namespace {

struct Load {
  std::size_t Sent = 0;
  std::size_t Ran = 0;
  Duration LongestWait;
};

/// Sends ten new keys a second through all nodes for \p Span.
Load offer(World &Value, Duration Span) {
  Load Result;
  const Instant End = Value.Time.now() + Span;
  std::map<RequestKey, Instant> Open;
  while (Value.Time.now() < End + Duration::seconds(3)) {
    if (Value.Time.now() < End) {
      const RequestKey Key =
          RequestKey::make(Value.Time.wallNow(), Value.Source);
      std::size_t View = Result.Sent++ % World::Slots;
      while (!Value.Nodes[View])
        View = (View + 1) % World::Slots;
      Value.newSend(Key, View, World::Slots);
      Open.emplace(Key, Value.Time.now());
    }
    Value.deliverAll();
    for (std::size_t Slot = 0; Slot < World::Slots; ++Slot)
      while (Value.running(Slot) && !Value.Nodes[Slot]->Allowed.empty())
        Value.Nodes[Slot]->runNext(2);
    std::erase_if(Open, [&Value, &Result](const auto &Entry) {
      if (!Value.Oracle.ran(Entry.first))
        return false;
      ++Result.Ran;
      Result.LongestWait =
          std::max(Result.LongestWait, Value.Time.now() - Entry.second);
      return true;
    });
    Value.pass(Duration::millis(100));
  }
  return Result;
}

/// \returns the share of the keys of one service that wait while the log is
/// down, when \p Lost of its homes are lost.
double refusedShare(const HomeSet &Set, const std::set<ProcessId> &Lost) {
  double Refused = 0;
  for (const HomeAssignment &Home : Set.homes()) {
    const std::optional<ProcessId> &Mirror = Home.Mirrors.front().Mirror;
    if (Lost.contains(Home.Process) || (Mirror && Lost.contains(*Mirror)))
      Refused += 1;
  }
  return Refused / static_cast<double>(Set.homes().size());
}

struct Shape {
  const char *Name;
  std::vector<std::uint32_t> Homes;
  std::uint32_t Zones;
};

} // namespace

// R7: a node that leaves must not cost its callers an answer.
Test(ClaimHome, gracefulLeaveRefusesNothing) {
  World Value(Protection::Full, 3);
  Value.Nodes[1]->Leaving = true;
  const std::size_t Before = Value.Records;
  const Load Result = offer(Value, Duration::seconds(20));
  std::fprintf(stderr,
               "graceful leave: %zu of %zu keys ran, longest wait %.0f ms, "
               "%zu epoch\n",
               Result.Ran, Result.Sent, Result.LongestWait.toMillis(),
               Value.Records - Before);
  cr_assert(Value.Nodes[1] == nullptr, "the node has left");
  cr_assert_eq(Result.Ran, Result.Sent);
  cr_assert_leq(Result.LongestWait, Duration::seconds(1));
  cr_assert_eq(Value.Oracle.KeysRunTwice, 0U);
}

// A home that is killed costs its own keys the time of detection, of the epoch
// change and of the cutoff, and costs the other homes nothing for long.
Test(ClaimHome, killedHomeIsReplacedThroughItsMirror) {
  World Value(Protection::Full, 3);
  Value.stop(1);
  const Load First = offer(Value, Duration::seconds(10));
  const Load Second = offer(Value, Duration::seconds(20));
  std::fprintf(stderr,
               "killed home: %zu of %zu keys ran in the first 10 s, %zu of %zu "
               "after\n",
               First.Ran, First.Sent, Second.Ran, Second.Sent);
  cr_assert_eq(Second.Ran, Second.Sent);
  cr_assert_eq(Value.Oracle.KeysRunTwice, 0U);
}

Test(ClaimHome, messagesPerClaimAndEpochChange) {
  World Value(Protection::Full, 3);
  offer(Value, Duration::seconds(5));
  std::size_t Before = Value.Messages;
  const Load Result = offer(Value, Duration::seconds(20));
  std::fprintf(stderr, "%.2f messages per claim of %zu and %zu bytes\n",
               static_cast<double>(Value.Messages - Before) /
                   static_cast<double>(Result.Sent),
               sizeof(CopyClaim), sizeof(CopyAnswer));
  cr_assert_eq(Value.Messages - Before, 2 * Result.Sent);
  World Empty(Protection::Full, 3);
  Before = Empty.Messages;
  const std::size_t Records = Empty.Records;
  Empty.start(4);
  for (int Step = 0; Step < 300; ++Step) {
    Empty.pass(Duration::millis(100));
    Empty.deliverAll();
  }
  std::fprintf(stderr, "home added to 4 empty ones: %zu epoch, %zu messages\n",
               Empty.Records - Records, Empty.Messages - Before);
  cr_assert(Empty.Nodes[4]->Home.settled());
  // A question to each home, a transfer from each home to its mirror, and a
  // second one when the new home knows the past of its keys; all answered.
  // A home that reads the log after the new one is asked twice.
  cr_assert_leq(Empty.Messages - Before, 2U * 4 + 2U * 5 + 2U + 4U);
}

// While the log is down, homes go on, but the keys of lost homes and mirrors
// wait: their share must be that of the design, 1 - (1 - p)^2.
Test(ClaimHome, shareOfKeysThatWaitDuringALogOutage) {
  const std::vector<Shape> Shapes = {
      {"Umurage, 13 hosts", {3, 3, 4, 3}, 3},
      {"Rucicka, 14 hosts", {4, 3, 4, 3}, 3},
      {"7,100 hosts", std::vector<std::uint32_t>(310, 23), 9}};
  SeededRandom Source(4);
  for (const Shape &Fleet : Shapes) {
    std::vector<HomeSet> Sets;
    std::vector<ProcessId> Hosts;
    for (std::uint32_t Service = 0; Service < Fleet.Homes.size(); ++Service) {
      std::vector<HomeCandidate> Homes;
      for (std::uint32_t Host = 0; Host < Fleet.Homes[Service]; ++Host) {
        Homes.push_back(
            {ProcessId{HostAddress{(Service << 8U) + Host + 1, 1}, 1},
             ZoneName("z" + std::to_string(Host % Fleet.Zones))});
        Hosts.push_back(Homes.back().Process);
      }
      Sets.push_back(HomeSet().next(Homes));
    }
    for (const double Loss : {0.01, 0.08, 0.15, 0.33}) {
      double Sum = 0;
      const int Trials = Hosts.size() > 1000 ? 20 : 3000;
      const std::size_t Count = std::max<std::size_t>(
          1, static_cast<std::size_t>(
                 std::lround(Loss * static_cast<double>(Hosts.size()))));
      for (int Trial = 0; Trial < Trials; ++Trial) {
        std::set<ProcessId> Lost;
        while (Lost.size() < Count)
          Lost.insert(Hosts[Source.below(Hosts.size())]);
        for (const HomeSet &Set : Sets)
          Sum += refusedShare(Set, Lost) / static_cast<double>(Sets.size());
      }
      const double Share = Sum / Trials;
      const double P =
          static_cast<double>(Count) / static_cast<double>(Hosts.size());
      std::fprintf(stderr, "%s: %zu lost (%.1f%%), %.1f%% of keys wait\n",
                   Fleet.Name, Count, 100 * P, 100 * Share);
      cr_assert_leq(Share, 1 - (1 - P) * (1 - P) + 0.03);
    }
  }
}

// The bound on stored answers must hold, and a caller must then learn that its
// work ran.
Test(ClaimHome, answersAreBoundedAndVerdictsStayTrue) {
  World Value(Protection::Full, 3);
  Value.Options.MaxAnswerBytes = 500;
  Value.start(4);
  Value.pass(Duration::seconds(30));
  std::vector<RequestKey> Keys;
  for (int Index = 0; Index < 200; ++Index) {
    Keys.push_back(RequestKey::make(Value.Time.wallNow(), Value.Source));
    Value.newSend(Keys.back(), 0, World::Slots);
  }
  for (int Round = 0; Round < 5; ++Round) {
    Value.pass(Duration::millis(500));
    for (std::size_t Slot = 0; Slot < World::Slots; ++Slot)
      while (!Value.Nodes[Slot]->Allowed.empty())
        Value.Nodes[Slot]->runNext(2);
  }
  cr_assert_eq(Value.Oracle.Started, 200U);
  for (const RequestKey &Key : Keys) {
    const SendId Id = Value.Oracle.recordSend(Key);
    const HomeAssignment *Owner = Value.Log.back().homeOf(Key);
    for (const std::unique_ptr<SimulatedNode> &Node : Value.Nodes)
      if (Node->Self == Owner->Process)
        Node->onSend(Id, Value.Log.back().epoch());
    cr_assert(Value.Oracle.send(Id).Reported == Verdict::Ran);
  }
  cr_assert_eq(Value.Oracle.Started, 200U);
}

// A home whose reading of the log is too old may have been replaced.
Test(ClaimHome, stopsWhenTheLogIsSilentAndExpiresKeys) {
  World Value(Protection::Full, 3);
  const RequestKey Old = RequestKey::make(Value.Time.wallNow(), Value.Source);
  Value.LogDown = true;
  Value.pass(Duration::seconds(55));
  cr_assert_eq(offer(Value, Duration::seconds(1)).Ran, 10U);
  Value.pass(Duration::seconds(5));
  cr_assert_eq(offer(Value, Duration::seconds(1)).Ran, 0U);
  Value.LogDown = false;
  Value.pass(Duration::seconds(60));
  Value.newSend(Old, 0, World::Slots);
  cr_assert_eq(offer(Value, Duration::seconds(1)).Ran, 10U);
  cr_assert_not(Value.Oracle.ran(Old), "the key is older than its retention");
}

// A wall clock that is set forward and back made a home forget a key and then
// regard it as young.
Test(ClaimHome, wallClockThatIsSetBackDoesNotRunAKeyAgain) {
  World Value(Protection::Full, 3);
  const RequestKey Key = RequestKey::make(Value.Time.wallNow(), Value.Source);
  const HomeAssignment *Owner = Value.Log.back().homeOf(Key);
  for (const std::unique_ptr<SimulatedNode> &Node : Value.Nodes) {
    if (!Node || Node->Self != Owner->Process)
      continue;
    Value.newSend(Key, Node->Slot, World::Slots);
    Value.pass(Duration::seconds(1));
    Node->runNext(2);
    cr_assert(Value.Oracle.ran(Key));
    Node->Time.step(Duration::seconds(1000));
    Value.pass(Duration::seconds(1));
    Node->Time.step(Duration::seconds(-1000));
    Value.newSend(Key, Node->Slot, World::Slots);
    Value.pass(Duration::seconds(1));
    Node->runNext(2);
  }
  cr_assert_eq(Value.Oracle.KeysRunTwice, 0U);
}
