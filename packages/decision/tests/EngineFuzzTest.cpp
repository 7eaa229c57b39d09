// Fuzzes the engine with random sequences of requests, calls, completions,
// cancellations, drains and time steps. Each request must get exactly one
// answer, and a request that ran must not be answered as not-run.
#include "EngineFixture.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace camphorpin;
using camphorpin::testing::EngineFixture;
using camphorpin::testing::RecordedCall;

namespace {

/// \class EngineModel
/// \brief Drives the engine with random events and checks its invariants.
class EngineModel {
public:
  void step() {
    switch (*rc::gen::inRange(0, 9)) {
    case 0:
    case 1:
      Ids.push_back(Node.request(EngineFixture::requestInfo("status")));
      break;
    case 2:
      sendKeyedRequest();
      break;
    case 3:
      Ids.push_back(Node.deliverCall(Node.idempotentContext()));
      break;
    case 4:
      endRun();
      break;
    case 5:
      endCall();
      break;
    case 6:
      if (!Ids.empty())
        Node.Engine.onCancel(*rc::gen::elementOf(Ids));
      break;
    case 7:
      Node.advance(Duration::millis(*rc::gen::inRange(10, 200)));
      break;
    case 8:
      if (*rc::gen::inRange(0, 20) == 0)
        Node.Engine.onDrain();
      break;
    }
  }

  /// Ends all runs and advances the clock past all deadlines.
  void finish() {
    for (int Round = 0; Round < 3; ++Round) {
      for (std::size_t Index = 0; Index < Node.Out.StartedRuns.size(); ++Index)
        Node.Engine.onRunDone(Node.Out.StartedRuns[Index],
                              {.Verdict = Verdict::Ran});
      Node.advance(Duration::millis(1100));
    }
  }

  void check() const {
    for (RequestId Id : Ids)
      RC_ASSERT(Node.Out.singleAnswer(Id).has_value());
    for (RequestId Id : Ran)
      RC_ASSERT(Node.Out.singleAnswer(Id)->Verdict != Verdict::NotRun);
    RC_ASSERT(Node.Engine.inProgress() == 0u);
  }

private:
  void sendKeyedRequest() {
    RequestInfo Info = EngineFixture::requestInfo("pay");
    if (Keys.empty() || *rc::gen::inRange(0, 2) == 0)
      Keys.push_back(RequestKey::make(Node.Time.wallNow(), Node.Source));
    Info.Key = *rc::gen::elementOf(Keys);
    Ids.push_back(Node.request(Info));
  }

  void endRun() {
    if (Node.Out.StartedRuns.empty())
      return;
    const RequestId Id = *rc::gen::elementOf(Node.Out.StartedRuns);
    const Verdict Value =
        *rc::gen::element(Verdict::Ran, Verdict::NotRun, Verdict::MayHaveRun);
    // A repeated completion must have no effect, whatever its verdict.
    if (Ended.insert(Id).second && Value == Verdict::Ran)
      Ran.push_back(Id);
    Node.Engine.onRunDone(Id, {.Verdict = Value});
  }

  void endCall() {
    if (Node.Out.Calls.empty())
      return;
    const RecordedCall Call = *rc::gen::elementOf(Node.Out.Calls);
    Node.Engine.onCallDone(
        Call.Call, {.Verdict = *rc::gen::element(Verdict::Ran, Verdict::NotRun,
                                                 Verdict::MayHaveRun),
                    .Reason = *rc::gen::element(
                        RefusalReason::None, RefusalReason::Overloaded,
                        RefusalReason::PeerFailed, RefusalReason::Draining),
                    .UnusedAttempts = *rc::gen::inRange<std::uint8_t>(0, 5)});
  }

  EngineFixture Node;
  std::vector<RequestId> Ids;
  std::vector<RequestKey> Keys;
  std::vector<RequestId> Ran;
  std::set<RequestId> Ended;
};

} // namespace

Test(EngineFuzz, eachRequestGetsOneCorrectAnswer) {
  cr_assert(rc::check("one true answer", [] {
    EngineModel Model;
    const int Steps = *rc::gen::inRange(1, 120);
    for (int Step = 0; Step < Steps; ++Step)
      Model.step();
    Model.finish();
    Model.check();
  }));
}
