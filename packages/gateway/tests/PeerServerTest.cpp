#include "GatewayFixture.h"

#include "camphorpin/src/Gateway/PeerClient.h"
#include "camphorpin/src/Gateway/PeerCodec.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

using namespace camphorpin;
using namespace camphorpin::test;

namespace {

class TestServerListener final : public PeerServerListener {
public:
  PeerHello hello() override {
    PeerHello Result;
    Result.Node = "server";
    Result.Incarnation = 1;
    Result.Service = "shop";
    Result.Zone = "a";
    return Result;
  }
  PeerDigest digest() const override { return {}; }
  PeerUpdateRequest updateRequest() const override { return {}; }
  void onDigest(const std::string &, const PeerDigest &) override {}
  PeerUpdate makeUpdate(const PeerUpdateRequest &) override { return {}; }
  void onUpdate(const std::string &, PeerUpdate) override {}
  PeerPollAnswer onPoll(const std::string &, const PeerDigest &) override {
    return {};
  }
  void onCrashes(const PeerCrashes &) override {}
};

class TestClientListener final : public PeerClientListener {
public:
  // By default, all callers started in the same millisecond.
  explicit TestClientListener(std::string Node, std::uint64_t Incarnation = 7)
      : Node(std::move(Node)), Incarnation(Incarnation) {}
  PeerHello hello() override {
    PeerHello Result;
    Result.Node = Node;
    Result.Incarnation = Incarnation;
    Result.Number = ++Hellos;
    Result.Service = "web";
    Result.Zone = "a";
    return Result;
  }
  void onDigest(const std::string &, const PeerDigest &) override {}
  PeerUpdate makeUpdate(const PeerUpdateRequest &) override { return {}; }
  void onUpdate(const std::string &, PeerUpdate) override {}
  void onPollAnswer(const std::string &, const PeerPollAnswer &) override {}
  PeerPollAnswer onPoll(const std::string &, const PeerDigest &) override {
    return {};
  }
  void onCrashes(const PeerCrashes &) override {}

private:
  std::string Node;
  std::uint64_t Incarnation;
  std::uint64_t Hellos = 0;
};

/// A node in front of a backend server that echoes the request's body.
struct ProxyFixture {
  EventLoop Loop;
  SystemClock Time;
  PlainProtocol Protocol;
  EventLog Log{{"error", ""}, Time};
  std::vector<std::shared_ptr<HttpExchange>> Held;
  bool Hold = false;
  FakeBackend Backend{Loop, [this](const std::shared_ptr<HttpExchange> &Item) {
                        if (Hold)
                          Held.push_back(Item);
                        else
                          answer(Item);
                      }};
  GatewaySettings Settings = settings();
  BackendProxy Proxy{Loop, Time, Settings, Protocol, Log};
  TestServerListener Listener;
  PeerServer Server{Loop, Time, Proxy, Listener};
  HostAddress Address = freeAddress();

  ProxyFixture() {
    Server.listen(Address);
    makeAvailable(Loop, Proxy, Backend.Address);
  }

  GatewaySettings settings() const {
    GatewaySettings Result;
    Result.Node = "server";
    Result.Service = "shop";
    Result.BackendAddress = Backend.Address;
    return Result;
  }

  static void answer(const std::shared_ptr<HttpExchange> &Item) {
    Item->reply(stampedReply(*Item, Item->request().body().text()));
  }

  static PeerCall call(std::uint64_t Id, const std::string &Body,
                       bool Idempotent) {
    PeerCall Call;
    Call.Id = Id;
    Call.Head = "POST /buy/x HTTP/1.1\r\nHost: shop\r\nCamphorpin-Request: r" +
                Body + "\r\n";
    Call.Body = Body;
    Call.RequestId = "r" + Body;
    Call.Route = "buy";
    Call.Service = "shop";
    Call.Idempotent = Idempotent;
    Call.TimeLeft = Duration::seconds(3);
    Call.Objective = Duration::seconds(1);
    return Call;
  }
};

/// A TCP forwarder whose open connections can be stalled. Bytes that arrive on
/// a stalled connection are kept, also after the sender has closed it, as a
/// network partition keeps them.
class StallingForwarder {
public:
  StallingForwarder(EventLoop &Loop, const HostAddress &Target)
      : Address(freeAddress()), Loop(Loop), Target(Target),
        Acceptor(Loop, detail::endpointOf(Address)) {
    accept();
  }

  void stallOpenConnections() {
    for (const std::shared_ptr<Pipe> &Item : Pipes)
      Item->Stalled = true;
  }

  /// Delivers what the senders wrote to stalled connections.
  void releaseStalledBytes() {
    for (const std::shared_ptr<Pipe> &Item : Pipes) {
      boost::system::error_code Ignored;
      boost::asio::write(Item->Out, boost::asio::buffer(Item->HeldForth),
                         Ignored);
      Item->HeldForth.clear();
    }
  }

  HostAddress Address;

private:
  struct Pipe {
    Pipe(TcpSocket In, EventLoop &Loop) : In(std::move(In)), Out(Loop) {}
    TcpSocket In;
    TcpSocket Out;
    std::array<char, 4096> Forth{};
    std::array<char, 4096> Back{};
    /// Bytes for Out that were received while the connection was stalled.
    std::string HeldForth;
    bool Stalled = false;
  };

  void accept() {
    Acceptor.async_accept(
        [this](const boost::system::error_code &Error, TcpSocket Socket) {
          if (Error)
            return;
          const auto Item = std::make_shared<Pipe>(std::move(Socket), Loop);
          Item->Out.connect(detail::endpointOf(Target));
          Pipes.push_back(Item);
          copy(Item, Item->In, Item->Out, Item->Forth);
          copy(Item, Item->Out, Item->In, Item->Back);
          accept();
        });
  }

  void copy(const std::shared_ptr<Pipe> &Item, TcpSocket &From, TcpSocket &To,
            std::array<char, 4096> &Chunk) {
    From.async_read_some(
        boost::asio::buffer(Chunk),
        [this, Item, &From, &To, &Chunk](const boost::system::error_code &Error,
                                         std::size_t Bytes) {
          if (Error)
            return;
          boost::system::error_code Ignored;
          if (!Item->Stalled)
            boost::asio::write(To, boost::asio::buffer(Chunk.data(), Bytes),
                               Ignored);
          else if (&To == &Item->Out)
            Item->HeldForth.append(Chunk.data(), Bytes);
          copy(Item, From, To, Chunk);
        });
  }

  EventLoop &Loop;
  HostAddress Target;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::vector<std::shared_ptr<Pipe>> Pipes;
};

/// A caller whose connection to the node is cut off by a short partition, so
/// that its calls are sent again on a second connection while their first
/// copies are still on their way on the closed one.
struct PartitionFixture : ProxyFixture {
  TestClientListener Caller{"caller"};
  StallingForwarder Forwarder{Loop, Address};
  PeerClient Client{Loop, Time, "server", Forwarder.Address, Caller};
  std::vector<PeerAnswer> Answers;

  PartitionFixture() {
    send(64, "connect");
    awaitAnswers(1);
    Backend.Arrivals = 0;
    Answers.clear();
    Forwarder.stallOpenConnections();
  }

  /// Sends a non-idempotent call.
  void send(std::uint64_t Id, const std::string &Body) {
    Client.call(call(Id, Body, false), [this](PeerAnswer Value) {
      Answers.push_back(std::move(Value));
    });
  }

  void awaitAnswers(std::size_t Count) {
    runUntil(Loop, Duration::seconds(2),
             [&] { return Answers.size() == Count; });
    cr_assert_eq(Answers.size(), Count);
  }

  /// Ends the partition, and waits until the late copies have been processed.
  void endPartition() {
    Forwarder.releaseStalledBytes();
    runUntil(Loop, Duration::millis(200), [] { return false; });
  }
};

} // namespace

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
Test(PeerServer, largeBodyArrivesInParts) {
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

// Guards against a large call that runs twice or not at all when its connection
// is replaced while its body is on the way.
Test(PeerServer, largeCallContinuesOnANewConnection) {
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
Test(PeerServer, incompleteLargeCallDoesNotRun) {
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
Test(PeerServer, stalledLargeCallIsRefused) {
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
Test(PeerServer, bytesOfPeersAreBounded) {
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
Test(PeerServer, idleConnectionsOfPeersGiveWay) {
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
