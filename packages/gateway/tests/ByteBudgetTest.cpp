// Guards against a node that outgrows its memory, and is killed with the
// requests of all its callers, because of a few large bodies or slow readers.
#include "DeferringServer.h"

#include <criterion/criterion.h>

using namespace camphorpin;
using namespace camphorpin::test;

namespace {

constexpr std::size_t BudgetBytes = std::size_t(6) << 20U;
/// More than the part of the budget that is open to large messages.
constexpr std::size_t LargeBytes = std::size_t(11) << 19U;
constexpr std::size_t SmallBytes = 1000;
/// Bytes that a server counts for each byte of the head of a request.
constexpr std::size_t HeadCopies = 6;

struct BudgetFixture final : DeferringServer {
  BudgetFixture() : DeferringServer(BudgetBytes) {}
  void run(const std::function<bool()> &Done) {
    runUntil(Loop, Duration::seconds(2), Done);
  }
};

} // namespace

// Guards against a large body that is read although its copies do not fit into
// the node's memory, and against a refusal that is lost because the connection
// is reset while the caller still sends.
Test(ByteBudget, largeBodyIsRefusedAndTheRefusalArrives) {
  BudgetFixture Fixture;
  RawClient Caller(Fixture.Loop, Fixture.Address);
  Caller.send(postHead(LargeBytes));
  Fixture.sendBody(Caller, LargeBytes);
  Fixture.run([&] { return Caller.Ended; });
  cr_assert(Caller.Received.starts_with("HTTP/1.1 503"));
  cr_assert(Fixture.Deferred.empty());
  cr_assert_eq(Fixture.Budget->used(), std::size_t(0));
}

// Guards against a chunked body, whose length is not announced, that outgrows
// the node's memory.
Test(ByteBudget, chunkedBodyIsRefusedWhenItGrowsTooLarge) {
  BudgetFixture Fixture;
  RawClient Caller(Fixture.Loop, Fixture.Address);
  Caller.send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
              "chunked\r\n\r\n");
  const std::string Part(16384, 'c');
  for (std::size_t Sent = 0; Sent < LargeBytes; Sent += Part.size()) {
    Caller.trySend("4000\r\n" + Part + "\r\n");
    runUntil(Fixture.Loop, Duration::millis(1), [] { return false; });
    cr_assert_leq(Fixture.Budget->used(), BudgetBytes);
  }
  Fixture.run([&] { return Caller.Ended; });
  cr_assert(Caller.Received.starts_with("HTTP/1.1 503"));
  cr_assert(Fixture.Deferred.empty());
}

// Guards against bytes of a request that are counted after its answer, so that
// the budget is used up by and by.
Test(ByteBudget, bytesOfAnsweredRequestsAreReturned) {
  BudgetFixture Fixture;
  RawClient Caller(Fixture.Loop, Fixture.Address);
  for (std::size_t Count = 1; Count <= 20; ++Count) {
    Caller.send(postHead(SmallBytes) + std::string(SmallBytes, 'b'));
    Fixture.run([&] { return Fixture.Deferred.size() == Count; });
    cr_assert_eq(Fixture.Budget->used(),
                 SmallBytes + HeadCopies * postHead(SmallBytes).size());
    cr_assert(Fixture.Deferred.back()->reserve(SmallBytes));
    Fixture.Deferred.back()->reply(
        stampedReply(*Fixture.Deferred.back(), std::string(SmallBytes, 'a')));
    Fixture.run([&] { return Caller.Received.size() > Count * SmallBytes; });
    Fixture.run([&] { return Fixture.Budget->used() == 0; });
    cr_assert_eq(Fixture.Budget->used(), std::size_t(0));
  }
}

// Guards against answers to slow readers that are held without a bound: what
// does not fit is not reserved, and small answers still are.
Test(ByteBudget, answersToSlowReadersAreBounded) {
  BudgetFixture Fixture;
  constexpr std::size_t CallerCount = 20;
  constexpr std::size_t AnswerBytes = std::size_t(1) << 20U;
  std::vector<std::unique_ptr<RawClient>> Callers;
  std::size_t Reserved = 0;
  for (std::size_t Count = 1; Count <= CallerCount; ++Count) {
    Callers.push_back(
        std::make_unique<RawClient>(Fixture.Loop, Fixture.Address));
    Callers.back()->send(postHead(0));
    Fixture.run([&] { return Fixture.Deferred.size() == Count; });
    // The answers are never written, as if no caller read.
    HttpExchange &Exchange = *Fixture.Deferred.back();
    const bool Fits = Exchange.reserve(AnswerBytes);
    Reserved += Fits ? 1 : 0;
    cr_assert_leq(Fixture.Budget->used(), BudgetBytes);
  }
  cr_assert_geq(Reserved, std::size_t(3));
  cr_assert_lt(Reserved, CallerCount);
  cr_assert(Fixture.Deferred.back()->reserve(SmallBytes));
}

// Guards against a node that is killed because many callers send large bodies
// to its backend server at the same time: what does not fit is refused without
// being run, and there is room again once a run has ended.
Test(ByteBudget, bodiesForTheBackendServerAreBounded) {
  EventLoop Loop;
  SystemClock Time;
  PlainProtocol Protocol;
  EventLog Log{{"error", ""}, Time};
  std::vector<std::shared_ptr<HttpExchange>> Held;
  FakeBackend Backend(Loop, [&Held](const std::shared_ptr<HttpExchange> &Item) {
    Held.push_back(Item);
  });
  GatewaySettings Settings;
  Settings.Node = "server";
  Settings.Service = "shop";
  Settings.BackendAddress = Backend.Address;
  Settings.MemoryBytes = std::size_t(4) << 20U;
  BackendProxy Proxy(Loop, Time, Settings, Protocol, Log);
  makeAvailable(Loop, Proxy, Backend.Address);
  std::vector<PeerAnswer> Answers;
  const auto Submit = [&Proxy, &Answers](const std::string &Id) {
    PeerCall Call;
    Call.Id = Answers.size();
    Call.Head =
        "POST /buy HTTP/1.1\r\nHost: shop\r\nCamphorpin-Request: " + Id +
        "\r\n";
    Call.Body = std::string(std::size_t(1) << 20U, 'b');
    Call.RequestId = Id;
    Call.Route = "buy";
    Call.Service = "shop";
    Call.TimeLeft = Duration::seconds(3);
    Call.Objective = Duration::seconds(1);
    Proxy.submit(std::move(Call), [&Answers](PeerAnswer Value) {
      Answers.push_back(std::move(Value));
    });
  };
  Submit("one");
  Submit("two");
  cr_assert_eq(Answers.size(), std::size_t(1));
  cr_assert_eq(Answers.front().verdict(), Verdict::NotRun);
  cr_assert_eq(Answers.front().Reason, RefusalReason::NodeBusy);
  runUntil(Loop, Duration::seconds(2), [&] { return Held.size() == 1; });
  Held.front()->reply(stampedReply(*Held.front(), "done"));
  runUntil(Loop, Duration::seconds(2), [&] { return Answers.size() == 2; });
  cr_assert_eq(Answers.back().Outcome, CallOutcome::Answered);
  Submit("three");
  runUntil(Loop, Duration::seconds(2), [&] { return Held.size() == 2; });
  cr_assert_eq(Held.size(), std::size_t(2));
  cr_assert_eq(Backend.Arrivals, 2);
}
