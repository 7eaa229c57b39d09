// Guards against peers that make a node hold more than it has memory or
// descriptors for, and against large bodies that get lost on their way.
#include "PeerServerFixture.h"

#include "camphorpin/src/Gateway/PeerCodec.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <map>
#include <optional>

using namespace camphorpin;
using namespace camphorpin::test;

namespace {

constexpr std::size_t LargeBytes = std::size_t(3) << 20U;

/// \returns a call whose body has LargeBytes.
PeerCall largeCall(std::uint64_t Id, bool Idempotent) {
  PeerCall Call = ProxyFixture::call(Id, std::to_string(Id), Idempotent);
  std::string Body(LargeBytes, 'x');
  for (std::size_t Index = 0; Index < Body.size(); Index += 997)
    Body[Index] = static_cast<char>('a' + Index % 26);
  Call.Body = SharedBody(std::move(Body));
  return Call;
}

std::string encoded(const PeerFrame &Frame) {
  std::string Result;
  detail::encodeFrame(Frame, Result);
  return Result;
}

/// A client that greets the node and announces a large call.
struct LargeCaller {
  explicit LargeCaller(ProxyFixture &Fixture)
      : Client(Fixture.Loop, Fixture.Address) {
    PeerLargeCall Large{ProxyFixture::call(64, "64", false), LargeBytes};
    Large.Call.Body = SharedBody();
    Client.send(encoded(Listener.hello()) + encoded(Large));
  }
  TestClientListener Listener{"caller"};
  RawClient Client;
};

} // namespace

// Guards against a large body that arrives torn, and against one that a node
// does not pass on.
Test(PeerLimits, largeBodyArrivesInParts) {
  ProxyFixture Fixture;
  TestClientListener Listener("caller");
  PeerClient Client(Fixture.Loop, Fixture.Time, "server", Fixture.Address,
                    Listener);
  for (const bool Idempotent : {true, false}) {
    const PeerCall Call = largeCall(Idempotent ? 64 : 128, Idempotent);
    std::optional<PeerAnswer> Answer;
    Client.call(Call, [&](PeerAnswer Value) { Answer = std::move(Value); });
    runUntil(Fixture.Loop, Duration::seconds(3),
             [&] { return Answer.has_value(); });
    cr_assert(Answer.has_value());
    cr_assert_eq(Answer->Outcome, CallOutcome::Answered);
    cr_assert(Call.Body == Answer->Body);
  }
  cr_assert_eq(Fixture.Backend.Arrivals, 2);
}

// Guards against parts of large bodies that fill the sender's memory a second
// time, and against bodies that are lost because of the bound on them.
Test(PeerLimits, manyLargeBodiesAreSentInTurns) {
  ProxyFixture Fixture;
  TestClientListener Listener("caller");
  PeerClient Client(Fixture.Loop, Fixture.Time, "server", Fixture.Address,
                    Listener);
  constexpr std::size_t Count = 8;
  std::vector<PeerCall> Calls;
  std::map<std::uint64_t, PeerAnswer> Answers;
  for (std::uint64_t Number = 1; Number <= Count; ++Number) {
    Calls.push_back(largeCall(Number * 64, true));
    Client.call(Calls.back(), [&Answers](PeerAnswer Value) {
      Answers[Value.Id] = std::move(Value);
    });
  }
  std::size_t Unsent = 0;
  runUntil(Fixture.Loop, Duration::seconds(3), [&] {
    Unsent = std::max(Unsent, Client.unsent());
    return Answers.size() == Count;
  });
  cr_assert_eq(Answers.size(), Count);
  for (const PeerCall &Call : Calls)
    cr_assert(Call.Body == Answers[Call.Id].Body);
  // The bound of the client, and the part that exceeds it.
  cr_assert_leq(Unsent, (std::size_t(1) << 20U) + (std::size_t(128) << 10U));
}

// Guards against a large call that runs twice or not at all when its connection
// is replaced while its body is on the way.
Test(PeerLimits, largeCallContinuesOnANewConnection) {
  PartitionFixture Fixture;
  const PeerCall Call = largeCall(65, false);
  Fixture.Client.call(Call, [&Fixture](PeerAnswer Value) {
    Fixture.Answers.push_back(std::move(Value));
  });
  Fixture.awaitAnswers(1);
  cr_assert(Call.Body == Fixture.Answers.front().Body);
  Fixture.endPartition();
  cr_assert_eq(Fixture.Backend.Arrivals, 1);
}

// Guards against a request that runs with a part of its body, and against the
// room that is kept for the rest.
Test(PeerLimits, incompleteLargeCallDoesNotRun) {
  ProxyFixture Fixture;
  LargeCaller Caller(Fixture);
  Caller.Client.send(encoded(PeerBodyPart{64, 0, std::string(1000, 'x')}));
  runUntil(Fixture.Loop, Duration::seconds(2),
           [&] { return Fixture.Proxy.messageBudget()->used() >= LargeBytes; });
  cr_assert_geq(Fixture.Proxy.messageBudget()->used(), LargeBytes);
  Caller.Client.disconnect();
  runUntil(Fixture.Loop, Duration::seconds(2), [&] {
    Fixture.Server.tick();
    return Fixture.Proxy.messageBudget()->used() == 0;
  });
  cr_assert_eq(Fixture.Proxy.messageBudget()->used(), 0U);
  cr_assert_eq(Fixture.Backend.Arrivals, 0);
}

// Guards against a peer that keeps room for a body which it never sends.
Test(PeerLimits, stalledLargeCallIsRefused) {
  ProxyFixture Fixture;
  LargeCaller Caller(Fixture);
  runUntil(Fixture.Loop, Duration::seconds(1),
           [&] { return Fixture.Proxy.messageBudget()->used() >= LargeBytes; });
  cr_assert_geq(Fixture.Proxy.messageBudget()->used(), LargeBytes);
  runUntil(Fixture.Loop, Duration::seconds(5), [&] {
    Fixture.Server.tick();
    return Fixture.Proxy.messageBudget()->used() < LargeBytes;
  });
  cr_assert_lt(Fixture.Proxy.messageBudget()->used(), LargeBytes);
  // Parts that arrive later must not run the refused call.
  for (std::size_t Sent = 0; Sent < LargeBytes; Sent += 32768) {
    Caller.Client.trySend(
        encoded(PeerBodyPart{64, Sent, std::string(32768, 'x')}));
    runUntil(Fixture.Loop, Duration::millis(1), [] { return false; });
  }
  runUntil(Fixture.Loop, Duration::millis(300), [] { return false; });
  cr_assert_eq(Fixture.Backend.Arrivals, 0);
}

// Guards against a client that fills the node's memory with frames that it
// never completes, or with answers that it never reads.
Test(PeerLimits, bytesOfPeersAreBounded) {
  ProxyFixture Fixture;
  const auto Frames = std::make_shared<ByteBudget>(std::size_t(2) << 20U);
  Fixture.Server.setByteBudget(Frames);
  std::vector<std::unique_ptr<RawClient>> Clients;
  const std::string Whole =
      encoded(ProxyFixture::call(64, std::string(500000, 'x'), true));
  for (int Count = 0; Count < 10; ++Count) {
    Clients.push_back(
        std::make_unique<RawClient>(Fixture.Loop, Fixture.Address));
    Clients.back()->trySend(Whole.substr(0, 10000));
    runUntil(Fixture.Loop, Duration::millis(20), [] { return false; });
    cr_assert_leq(Frames->used(), std::size_t(2) << 20U);
  }
  const auto Ended =
      std::count_if(Clients.begin(), Clients.end(),
                    [](const auto &Client) { return Client->Ended; });
  cr_assert_geq(Ended, 5);
  cr_assert_lt(Ended, 10);
}

// Guards against clients of the address for other nodes that never say who they
// are, or that keep a node out by connecting more often.
Test(PeerLimits, idleConnectionsOfPeersGiveWay) {
  ProxyFixture Fixture;
  Fixture.Server.setMaxConnections(4);
  std::vector<std::unique_ptr<RawClient>> Idle;
  for (int Count = 0; Count < 12; ++Count) {
    Idle.push_back(std::make_unique<RawClient>(Fixture.Loop, Fixture.Address));
    runUntil(Fixture.Loop, Duration::millis(5), [] { return false; });
  }
  TestClientListener Listener("caller");
  PeerClient Client(Fixture.Loop, Fixture.Time, "server", Fixture.Address,
                    Listener);
  std::string Answer;
  Client.call(ProxyFixture::call(64, "one", false),
              [&](const PeerAnswer &Value) { Answer = Value.Body; });
  runUntil(Fixture.Loop, Duration::seconds(2), [&] { return !Answer.empty(); });
  cr_assert_eq(Answer, std::string("one"));
  runUntil(Fixture.Loop, Duration::seconds(5), [&] {
    Fixture.Server.tick();
    return std::all_of(Idle.begin(), Idle.end(),
                       [](const auto &Item) { return Item->Ended; });
  });
  cr_assert(std::all_of(Idle.begin(), Idle.end(),
                        [](const auto &Item) { return Item->Ended; }));
  cr_assert(Client.connected());
}
