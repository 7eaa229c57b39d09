// Tests the engine as a whole: exactly one answer for each request despite late
// or repeated completions, correct verdicts, and a drain that aborts no
// accepted work.
#include "EngineFixture.h"
#include "camphorpin/src/Engine/HomeSetRecord.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace camphorpin;
using camphorpin::testing::EngineFixture;

namespace {

const BackendResult RanResult{.Verdict = Verdict::Ran};
const CallResult RanCall{.Verdict = Verdict::Ran};

} // namespace

// Guards the single answer to each request: a late or repeated completion must
// not answer a request again or answer another request.
Test(Engine, dropsLateAndRepeatedCompletions) {
  EngineFixture Node;
  const RequestId Id = Node.request(EngineFixture::requestInfo("status"));
  const CallId Call = Node.Out.Calls.at(0).Call;
  Node.Engine.onCallDone(Call, RanCall);
  Node.Engine.onCallDone(Call, RanCall);
  Node.Engine.onCallDone(CallId{4711}, RanCall);
  cr_assert_eq(Node.Out.Answers[Id].size(), 1);
  cr_assert(Node.Out.singleAnswer(Id)->Verdict == Verdict::Ran);
  cr_assert_eq(Node.Out.singleAnswer(Id)->SourceId,
               static_cast<std::uint64_t>(Call));

  const RequestId Served = Node.deliverCall(Node.idempotentContext());
  Node.advance(Duration::millis(600));
  cr_assert(Node.Out.singleAnswer(Served)->Verdict == Verdict::MayHaveRun);
  Node.Engine.onRunDone(Served, RanResult);
  Node.Engine.onRunDone(Served, RanResult);
  Node.Engine.onRunDone(RequestId{4711}, RanResult);
  cr_assert_eq(Node.Out.Answers[Served].size(), 1);
  cr_assert_eq(Node.Engine.inProgress(), 0);
}

// Guards the verdict not-run: a timeout must not be answered with it once the
// call was sent.
Test(Engine, timeoutAfterSendAnswersMayHaveRun) {
  EngineFixture Node;
  const RequestId Id = Node.request(EngineFixture::requestInfo("status"));
  Node.advance(Duration::millis(510));
  cr_assert(Node.Out.singleAnswer(Id)->Verdict == Verdict::MayHaveRun);
  cr_assert(Node.Out.singleAnswer(Id)->Reason == RefusalReason::Deadline);
  cr_assert_eq(Node.Out.CancelledCalls.size(), 1);
}

// Guards the verdict not-run of requests with a key: a node that is not the
// home of the key does not know whether an earlier send of it ran.
Test(Engine, refusalOfKeyedRequestSaysNotRunOnlyForFirstSend) {
  EngineFixture Node;
  RequestInfo Info = EngineFixture::requestInfo("pay");
  cr_assert(Node.Out.singleAnswer(Node.request(Info))->Reason ==
            RefusalReason::KeyRequired);
  Info.Key = RequestKey::make(Node.Time.wallNow(), Node.Source);
  Info.Service = ServiceName("lots"); // This service has no members.
  const RequestId Resend = Node.request(Info);
  Info.FirstSend = true;
  Info.Key = RequestKey::make(Node.Time.wallNow(), Node.Source);
  const RequestId First = Node.request(Info);
  Node.advance(Duration::millis(1100));
  cr_assert(Node.Out.singleAnswer(Resend)->Verdict == Verdict::MayHaveRun);
  cr_assert(Node.Out.singleAnswer(First)->Verdict == Verdict::NotRun);
}

// Guards the graceful drain: work accepted before the drain is completed,
// including its nested calls, and later work is refused at once.
Test(Engine, drainRefusesNewWorkAndCompletesAcceptedWork) {
  EngineFixture Node;
  Node.addMember("lots", 7001);
  const RequestId Running = Node.deliverCall(Node.idempotentContext());
  Node.Engine.onDrain();
  const RequestId Late = Node.request(EngineFixture::requestInfo("status"));
  const RequestId LateCall = Node.deliverCall(Node.idempotentContext());
  cr_assert(Node.Out.singleAnswer(Late)->Reason == RefusalReason::Draining);
  cr_assert(Node.Out.singleAnswer(LateCall)->Verdict == Verdict::NotRun);
  cr_assert(Node.Out.singleAnswer(LateCall)->Leaving);

  RequestInfo Nested = EngineFixture::requestInfo("status");
  Nested.Service = ServiceName("lots");
  Nested.Parent = Running;
  const RequestId Child = Node.request(Nested);
  cr_assert_not(Node.Out.singleAnswer(Child).has_value());
  Node.Engine.onCallDone(Node.Out.Calls.back().Call, RanCall);
  cr_assert(Node.Out.singleAnswer(Child)->Verdict == Verdict::Ran);
  Node.advance(Duration::millis(100));
  cr_assert_not(Node.Engine.hasEnded());
  Node.Engine.onRunDone(Running, RanResult);
  cr_assert(Node.Out.singleAnswer(Running)->Verdict == Verdict::Ran);
  Node.advance(Duration::millis(1500));
  cr_assert(Node.Engine.hasEnded());
}

namespace {

/// \class HomeNode
/// \brief A node that is the only home of its service, and the log from which
/// it reads the home set.
class HomeNode : public EngineFixture {
public:
  HomeNode() : EngineFixture(options()) {
    setHomes(options().Self);
    advanceReading(Duration::millis(3000));
  }

  /// Makes \p Home the only home.
  void setHomes(const ProcessId &Home) {
    const HomeCandidate Candidate{Home, ZoneName("z1")};
    Homes = Homes.next({&Candidate, 1});
    Log.push_back({Log.size(), detail::formatHomeSetChange(
                                   ServiceName("orders"), Home, Homes)});
  }

  /// Advances the clock and answers the node's reads of the log.
  void advanceReading(Duration Span) {
    const Instant End = Time.now() + Span;
    while (Time.now() < End) {
      advance(Duration::millis(10));
      for (const std::uint64_t From : std::exchange(Out.LogReads, {}))
        Engine.onLogPage({0, Log.size(), {Log.begin() + From, Log.end()}});
    }
  }

  RequestContext paymentContext() {
    RequestContext Context = idempotentContext();
    Context.Operation = OperationName("pay");
    Context.Rank = Rank(0);
    Context.Idempotent = false;
    Context.FirstSend = true;
    Context.HomeEpoch = Homes.epoch();
    Context.Remaining = Duration::seconds(5);
    return Context;
  }

private:
  static EngineOptions options() {
    EngineOptions Options = defaultOptions();
    Options.HasLog = true;
    return Options;
  }

  HomeSet Homes;
  std::vector<RawRecord> Log;
};

} // namespace

// Guards payments that a leaving home accepts until another home takes over:
// the node must not end before they are answered.
Test(Engine, leavingHomeCompletesTheRunsThatItAccepts) {
  HomeNode Node;
  cr_assert_eq(Node.Engine.state(), "serving");
  Node.Engine.onDrain();
  Node.advanceReading(Duration::millis(1100));
  cr_assert_eq(Node.Engine.state(), "leaving");
  const RequestId Payment = Node.deliverCall(Node.paymentContext());
  cr_assert_eq(Node.Out.StartedRuns.size(), 1);
  const ProcessId Other = Node.addMember("orders", 7001);
  Node.setHomes(Other);
  Node.advanceReading(Duration::millis(1500));
  Node.Engine.onClaimMessage(EngineFixture::defaultOptions().Self,
                             HandOverDone{Other, 2});
  Node.advanceReading(Duration::millis(50));
  cr_assert_not(Node.Engine.hasEnded());
  Node.Engine.onRunDone(Payment, RanResult);
  cr_assert(Node.Out.singleAnswer(Payment)->Verdict == Verdict::Ran);
  Node.advanceReading(Duration::millis(50));
  cr_assert(Node.Engine.hasEnded());
}

// Guards the verdicts during a drain: a draining node cannot answer a resend as
// not-run, so it forwards the resend instead of answering may-have-run.
Test(Engine, drainingNodeForwardsResends) {
  EngineFixture Node;
  Node.Engine.onDrain();
  RequestInfo Info = EngineFixture::requestInfo("pay");
  Info.Key = RequestKey::make(Node.Time.wallNow(), Node.Source);
  const RequestId Resend = Node.request(Info);
  cr_assert_not(Node.Out.singleAnswer(Resend).has_value());
  Info.Key = RequestKey::make(Node.Time.wallNow(), Node.Source);
  Info.FirstSend = true;
  cr_assert(Node.Out.singleAnswer(Node.request(Info))->Verdict ==
            Verdict::NotRun);
}

// Guards nested calls: a chain of them must not exceed the depth of the policy,
// a nested call must not outlive its parent, and its key must derive from the
// key of the parent, so that a repeated call gets the same key.
Test(Engine, nestedCallInheritsDeadlineDepthAndKey) {
  EngineFixture Node;
  RequestContext Context = Node.idempotentContext();
  Context.HopsLeft = 1;
  const RequestId Parent = Node.deliverCall(Context);
  Node.advance(Duration::millis(100));
  RequestInfo Info = EngineFixture::requestInfo("status");
  Info.Parent = Parent;
  Node.request(Info);
  const RequestContext &Child = Node.Out.Calls.back().Context;
  cr_assert_eq(Child.HopsLeft, 0);
  cr_assert(Child.Remaining == Duration::millis(400));
  cr_assert(Child.Age == Duration::millis(100));
  cr_assert(Child.Key == Context.Key.child("orders/status", "0"));

  Node.Engine.onRunDone(Parent, RanResult);
  Context.HopsLeft = 0;
  Info.Parent = Node.deliverCall(Context);
  const RequestId TooDeep = Node.request(Info);
  cr_assert(Node.Out.singleAnswer(TooDeep)->Reason == RefusalReason::TooDeep);
}

// Guards the timers of an idle node, which is woken only at nextWakeup(). With
// a wakeup time relative to the current time, the decision thread never called
// tick() on an idle node.
Test(Engine, idleNodeIsWokenForPeriodicWork) {
  EngineFixture Node;
  Node.Engine.onDrain();
  for (int Step = 0; Step < 1000 && !Node.Engine.hasEnded(); ++Step) {
    Node.Time.advance(Duration::millis(10));
    if (Node.Engine.nextWakeup() <= Node.Time.now())
      Node.Engine.tick();
  }
  cr_assert(Node.Engine.hasEnded());
}

// Guards the bound on crashes caused by one request: retries follow each other
// faster than crash reports propagate, so the retry must carry the crash count.
Test(Engine, retryAfterBackendFailureCarriesCrashCount) {
  EngineFixture Node;
  for (std::uint16_t Port : {7001, 7002, 7003})
    Node.addMember("orders", Port);
  const RequestId Id = Node.request(EngineFixture::requestInfo("status"));
  const CallResult Lost{.Verdict = Verdict::MayHaveRun,
                        .Reason = RefusalReason::BackendFailed};
  Node.Engine.onCallDone(Node.Out.Calls.back().Call, Lost);
  Node.advance(Duration::millis(50));
  cr_assert_eq(Node.Out.Calls.size(), 2);
  cr_assert_eq(Node.Out.Calls.back().Context.CrashCount, 1);
  Node.Engine.onCallDone(Node.Out.Calls.back().Call, Lost);
  Node.advance(Duration::millis(50));
  cr_assert_eq(Node.Out.Calls.size(), 2,
               "the request was sent to a third backend server");
  cr_assert(Node.Out.singleAnswer(Id)->Verdict == Verdict::MayHaveRun);
}

// Guards against a crash that is not detected because no run has completed
// since the previous crash.
Test(Engine, everyCrashOfRestartedBackendIsDetected) {
  EngineFixture Node;
  const BackendResult Down{.Verdict = Verdict::MayHaveRun,
                           .Reason = RefusalReason::BackendFailed,
                           .BackendDown = true};
  for (int Crash = 0; Crash < 2; ++Crash) {
    RequestContext Context = Node.idempotentContext();
    Context.Fingerprint = 4711;
    const RequestId First = Node.deliverCall(Context);
    const RequestId Second = Node.deliverCall(Node.idempotentContext());
    Node.advance(Duration::millis(20));
    Node.Engine.onRunDone(First, Down);
    // Another run that the same crash ended does not count as another crash.
    Node.Engine.onRunDone(Second, Down);
    Node.advance(Duration::millis(20));
  }
  cr_assert_eq(std::count(Node.Out.Events.begin(), Node.Out.Events.end(),
                          LogEvent::BackendCrashed),
               2);
  RequestContext Context = Node.idempotentContext();
  Context.Fingerprint = 4711;
  const RequestId Third = Node.deliverCall(Context);
  Node.advance(Duration::millis(20));
  cr_assert(Node.Out.singleAnswer(Third)->Reason ==
            RefusalReason::CrashSuspect);
}

// Guards against a backend server that is restarted so fast that it never
// refuses a connection: its crash must still count against the running request.
Test(Engine, lostConnectionCountsAsCrashWithoutRefusedConnection) {
  EngineFixture Node;
  const BackendResult Lost{.Verdict = Verdict::MayHaveRun,
                           .Reason = RefusalReason::BackendFailed,
                           .ConnectionLost = true};
  RequestContext Context = Node.idempotentContext();
  Context.Fingerprint = 4711;
  for (int Crash = 0; Crash < 2; ++Crash) {
    const RequestId Id = Node.deliverCall(Context);
    Node.advance(Duration::millis(20));
    Node.Engine.onRunDone(Id, Lost);
  }
  const RequestId Third = Node.deliverCall(Context);
  Node.advance(Duration::millis(20));
  cr_assert(Node.Out.singleAnswer(Third)->Reason ==
            RefusalReason::CrashSuspect);
  const RequestId Other = Node.deliverCall(Node.idempotentContext());
  Node.advance(Duration::millis(20));
  cr_assert(std::find(Node.Out.StartedRuns.begin(), Node.Out.StartedRuns.end(),
                      Other) != Node.Out.StartedRuns.end());
}

// Guards the platform's log against polls by every node: only the elected
// readers of each availability zone poll it.
Test(Engine, onlyElectedReadersPollTheLog) {
  constexpr std::uint16_t FirstPort = 7000;
  constexpr std::uint16_t Nodes = 9;
  std::size_t Readers = 0;
  for (std::uint16_t Own = 0; Own < Nodes; ++Own) {
    EngineOptions Options = EngineFixture::defaultOptions();
    Options.HasLog = true;
    Options.Self.Address.Port = static_cast<std::uint16_t>(FirstPort + Own);
    Options.Peers = {{.Address = {0x7F000001, 7999},
                      .Zone = ZoneName("z1"),
                      .Region = RegionName("r1")}};
    EngineFixture Node(Options);
    for (std::uint16_t Other = 0; Other < Nodes; ++Other)
      if (Other != Own)
        Node.addMember("lots", static_cast<std::uint16_t>(FirstPort + Other));
    Node.advance(Duration::seconds(15));
    Readers += Node.Out.LogReads.empty() ? 0 : 1;
  }
  cr_assert_eq(Readers, ReaderSelection::ReadersPerZone);
}
