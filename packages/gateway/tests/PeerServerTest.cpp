#include "PeerServerFixture.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace camphorpin;
using namespace camphorpin::test;

// Guards against a non-idempotent request that runs twice: a copy of the call
// arrives on the caller's closed connection after the answer to the copy on
// the newer connection was acknowledged.
Test(PeerServer, lateCopyOfAcknowledgedCallDoesNotRun) {
  PartitionFixture Fixture;
  Fixture.send(65, "one");
  Fixture.awaitAnswers(1);
  // The next call carries the acknowledgement of the answer.
  Fixture.send(66, "two");
  Fixture.awaitAnswers(2);
  Fixture.endPartition();
  cr_assert_eq(Fixture.Backend.Arrivals, 2);
}

// Guards against a request that runs after its client was told that it did not
// run: the copy on the newer connection is refused, and a copy arrives later on
// the caller's closed connection.
Test(PeerServer, lateCopyOfRefusedCallDoesNotRun) {
  PartitionFixture Fixture;
  Fixture.Proxy.awaitDepartures();
  Fixture.send(65, "one");
  Fixture.awaitAnswers(1);
  cr_assert_eq(Fixture.Answers.front().verdict(), Verdict::NotRun);
  Fixture.send(66, "two");
  Fixture.awaitAnswers(2);
  Fixture.Proxy.restoreDepartures({});
  Fixture.endPartition();
  cr_assert_eq(Fixture.Backend.Arrivals, 0);
}

// Guards against a non-idempotent request that runs twice: its client leaves
// while it runs, and a copy arrives later on the caller's closed connection.
Test(PeerServer, lateCopyOfCancelledCallDoesNotRun) {
  PartitionFixture Fixture;
  Fixture.Hold = true;
  Fixture.send(65, "one");
  runUntil(Fixture.Loop, Duration::seconds(2),
           [&] { return Fixture.Held.size() == 1; });
  Fixture.Client.cancel(65);
  runUntil(Fixture.Loop, Duration::millis(50), [] { return false; });
  Fixture.endPartition();
  cr_assert_eq(Fixture.Backend.Arrivals, 1);
}

// Guards against a newer connection that is closed because the hello of an
// older one arrives after its own, and against an answer that is lost with it.
Test(PeerServer, lateHelloDoesNotReplaceNewerConnection) {
  ProxyFixture Fixture;
  TestClientListener Listener("caller");
  PeerHello Older = Listener.hello();
  PeerClient Client(Fixture.Loop, Fixture.Time, "server", Fixture.Address,
                    Listener);
  Client.open();
  runUntil(Fixture.Loop, Duration::seconds(2),
           [&] { return Client.connected(); });
  Fixture.Hold = true;
  std::string Answer;
  Client.call(ProxyFixture::call(64, "one", false),
              [&](const PeerAnswer &Value) { Answer = Value.Body; });
  runUntil(Fixture.Loop, Duration::seconds(2),
           [&] { return Fixture.Held.size() == 1; });
  RawClient Late(Fixture.Loop, Fixture.Address);
  std::string Bytes;
  detail::encodeFrame(Older, Bytes);
  Late.send(Bytes);
  runUntil(Fixture.Loop, Duration::seconds(2), [&] { return Late.Ended; });
  cr_assert(Late.Ended);
  cr_assert(Client.connected());
  ProxyFixture::answer(Fixture.Held.front());
  runUntil(Fixture.Loop, Duration::seconds(2), [&] { return !Answer.empty(); });
  cr_assert_eq(Answer, std::string("one"));
  cr_assert_eq(Fixture.Backend.Arrivals, 1);
}

// Guards against answers that reach the caller of another node: the hash of a
// short name with an incarnation as its seed equals that of another name with
// a nearby incarnation, so calls must not be told apart by such a hash.
Test(PeerServer, callsOfPeersWithEqualHashesDoNotCollide) {
  ProxyFixture Fixture;
  constexpr std::uint64_t FirstIncarnation = 1000;
  std::uint64_t SecondIncarnation = FirstIncarnation - 4;
  while (stableHash("m-2", SecondIncarnation) !=
         stableHash("m-1", FirstIncarnation))
    cr_assert_leq(++SecondIncarnation, FirstIncarnation + 4);
  TestClientListener First("m-1", FirstIncarnation);
  TestClientListener Second("m-2", SecondIncarnation);
  PeerClient A(Fixture.Loop, Fixture.Time, "server", Fixture.Address, First);
  PeerClient B(Fixture.Loop, Fixture.Time, "server", Fixture.Address, Second);
  std::string AnswerA;
  std::string AnswerB;
  A.call(ProxyFixture::call(64, "one", false),
         [&](const PeerAnswer &Value) { AnswerA = Value.Body; });
  runUntil(Fixture.Loop, Duration::seconds(2),
           [&] { return !AnswerA.empty(); });
  B.call(ProxyFixture::call(64, "two", false),
         [&](const PeerAnswer &Value) { AnswerB = Value.Body; });
  runUntil(Fixture.Loop, Duration::seconds(2),
           [&] { return !AnswerB.empty(); });
  cr_assert_eq(AnswerA, std::string("one"));
  cr_assert_eq(AnswerB, std::string("two"));
  cr_assert_eq(Fixture.Backend.Arrivals, 2);
}

// Guards against answers that reach the caller of another node: nodes that
// start in the same millisecond have equal incarnations and may use equal call
// ids.
Test(PeerServer, callsOfPeersWithEqualIncarnationDoNotCollide) {
  ProxyFixture Fixture;
  TestClientListener First("first");
  TestClientListener Second("second");
  PeerClient A(Fixture.Loop, Fixture.Time, "server", Fixture.Address, First);
  PeerClient B(Fixture.Loop, Fixture.Time, "server", Fixture.Address, Second);
  Fixture.Hold = true;
  std::string AnswerA;
  std::string AnswerB;
  A.call(ProxyFixture::call(64, "one", true),
         [&](const PeerAnswer &Value) { AnswerA = Value.Body; });
  B.call(ProxyFixture::call(64, "two", true),
         [&](const PeerAnswer &Value) { AnswerB = Value.Body; });
  runUntil(Fixture.Loop, Duration::seconds(2),
           [&] { return Fixture.Held.size() == 2; });
  for (const std::shared_ptr<HttpExchange> &Item : Fixture.Held)
    ProxyFixture::answer(Item);
  runUntil(Fixture.Loop, Duration::seconds(2),
           [&] { return !AnswerA.empty() && !AnswerB.empty(); });
  cr_assert_eq(AnswerA, std::string("one"));
  cr_assert_eq(AnswerB, std::string("two"));
}

// Guards against a non-idempotent call that runs twice, or whose answer is
// lost, when the connection between two nodes is replaced.
Test(PeerServer, callResentAfterReconnectRunsOnce) {
  ProxyFixture Fixture;
  TestClientListener Listener("caller");
  auto Old = std::make_unique<PeerClient>(Fixture.Loop, Fixture.Time, "server",
                                          Fixture.Address, Listener);
  Fixture.Hold = true;
  Old->call(ProxyFixture::call(64, "one", false), [](const PeerAnswer &) {});
  runUntil(Fixture.Loop, Duration::seconds(2),
           [&] { return Fixture.Held.size() == 1; });
  Old.reset();
  std::string Answer;
  PeerClient New(Fixture.Loop, Fixture.Time, "server", Fixture.Address,
                 Listener);
  New.call(ProxyFixture::call(64, "one", false),
           [&](const PeerAnswer &Value) { Answer = Value.Body; });
  runUntil(Fixture.Loop, Duration::millis(100), [] { return false; });
  ProxyFixture::answer(Fixture.Held.front());
  runUntil(Fixture.Loop, Duration::seconds(2), [&] { return !Answer.empty(); });
  cr_assert_eq(Answer, std::string("one"));
  cr_assert_eq(Fixture.Backend.Arrivals, 1);
}

// Guards against an answer without its body: if a run ends while the connection
// is lost, its complete answer is retained until the caller reconnects.
Test(PeerServer, answerCompletedDuringReconnectIsDelivered) {
  ProxyFixture Fixture;
  TestClientListener Listener("caller");
  auto Old = std::make_unique<PeerClient>(Fixture.Loop, Fixture.Time, "server",
                                          Fixture.Address, Listener);
  Fixture.Hold = true;
  Old->call(ProxyFixture::call(64, "one", true), [](const PeerAnswer &) {});
  runUntil(Fixture.Loop, Duration::seconds(2),
           [&] { return Fixture.Held.size() == 1; });
  Old.reset();
  runUntil(Fixture.Loop, Duration::millis(50), [] { return false; });
  ProxyFixture::answer(Fixture.Held.front());
  runUntil(Fixture.Loop, Duration::millis(50), [] { return false; });
  std::optional<PeerAnswer> Answer;
  PeerClient New(Fixture.Loop, Fixture.Time, "server", Fixture.Address,
                 Listener);
  New.call(ProxyFixture::call(64, "one", true),
           [&](PeerAnswer Value) { Answer = std::move(Value); });
  runUntil(Fixture.Loop, Duration::seconds(2),
           [&] { return Answer.has_value(); });
  cr_assert(Answer.has_value());
  cr_assert_eq(Answer->StatusCode, 200);
  cr_assert_eq(Answer->Body, std::string("one"));
  cr_assert_eq(Fixture.Backend.Arrivals, 1);
}

// Guards urgent requests against waiting for an unresponsive host: another
// node must be tried before the deadline.
Test(PeerClient, callToUnresponsiveHostIsRefusedQuickly) {
  EventLoop Loop;
  SystemClock Time;
  TestClientListener Listener("caller");
  const HostAddress Address = freeAddress();
  // Connections are accepted and never answered.
  boost::asio::ip::tcp::acceptor Stalled(Loop, detail::endpointOf(Address));
  PeerClient Client(Loop, Time, "server", Address, Listener);
  std::optional<PeerAnswer> Answer;
  Client.call(ProxyFixture::call(64, "one", false),
              [&](PeerAnswer Value) { Answer = std::move(Value); });
  runUntil(Loop, Duration::millis(400), [&] { return Answer.has_value(); });
  cr_assert(Answer.has_value());
  cr_assert_eq(Answer->verdict(), Verdict::NotRun);
  cr_assert_not(Client.usable());
}

// Guards against calls that reach the wrong node after the address of a failed
// host was reassigned: they are refused immediately, and the connection is not
// used.
Test(PeerClient, nodeAtReassignedAddressGetsNoCalls) {
  ProxyFixture Fixture;
  TestClientListener Listener("caller");
  PeerClient Client(Fixture.Loop, Fixture.Time, "gone", Fixture.Address,
                    Listener);
  std::optional<PeerAnswer> Answer;
  Client.call(ProxyFixture::call(64, "one", true),
              [&](PeerAnswer Value) { Answer = std::move(Value); });
  runUntil(Fixture.Loop, Duration::seconds(1),
           [&] { return Answer.has_value(); });
  cr_assert(Answer.has_value());
  cr_assert_eq(Answer->verdict(), Verdict::NotRun);
  cr_assert_eq(Fixture.Backend.Arrivals, 0);
  cr_assert_not(Client.usable());
}

// Guards callers against a stalled connection: idempotent calls fail quickly;
// the outcome of non-idempotent calls is obtained over a new connection.
Test(PeerClient, unresponsiveConnectionIsReplaced) {
  ProxyFixture Fixture;
  TestClientListener Listener("caller");
  StallingForwarder Forwarder(Fixture.Loop, Fixture.Address);
  PeerClient Client(Fixture.Loop, Fixture.Time, "server", Forwarder.Address,
                    Listener);
  Fixture.Hold = true;
  std::optional<PeerAnswer> IdempotentAnswer;
  std::optional<PeerAnswer> NonIdempotentAnswer;
  Client.call(ProxyFixture::call(64, "one", true),
              [&](PeerAnswer Value) { IdempotentAnswer = std::move(Value); });
  Client.call(ProxyFixture::call(65, "two", false), [&](PeerAnswer Value) {
    NonIdempotentAnswer = std::move(Value);
  });
  runUntil(Fixture.Loop, Duration::seconds(2),
           [&] { return Fixture.Held.size() == 2; });
  Forwarder.stallOpenConnections();
  runUntil(Fixture.Loop, Duration::seconds(1),
           [&] { return IdempotentAnswer.has_value(); });
  cr_assert(IdempotentAnswer.has_value());
  cr_assert_eq(IdempotentAnswer->verdict(), Verdict::MayHaveRun);
  cr_assert_not(NonIdempotentAnswer.has_value());
  for (const std::shared_ptr<HttpExchange> &Item : Fixture.Held)
    ProxyFixture::answer(Item);
  runUntil(Fixture.Loop, Duration::seconds(2),
           [&] { return NonIdempotentAnswer.has_value(); });
  cr_assert(NonIdempotentAnswer.has_value());
  cr_assert_eq(NonIdempotentAnswer->Body, std::string("two"));
}
