#include "camphorpin/src/Engine/NodeEngine.h"

#include "camphorpin/src/Engine/NodeEngineImpl.h"

#include <algorithm>
#include <string>

namespace camphorpin {

namespace {

/// Interval of the periodic work of the modules.
constexpr Duration TickPeriod = Duration::millis(50);

} // namespace

NodeEngine::NodeEngine(const EngineOptions &Options, Actions &Out,
                       const Clock &Time, Random &Source)
    : State(std::make_unique<Impl>(Options, Out, Time, Source)) {}

NodeEngine::~NodeEngine() = default;

void NodeEngine::onStarted() {
  State->handleLifecycleEvent(LifecycleEvent::Started);
  tick();
}

void NodeEngine::onRequest(RequestId Id, const RequestInfo &Info) {
  State->request(Id, Info);
}

void NodeEngine::onCall(RequestId Id, const RequestContext &Context) {
  State->call(Id, Context);
}

void NodeEngine::onCancel(RequestId Id) {
  State->Server.cancel(Id);
  State->Client.cancel(Id, State->Time.now());
}

void NodeEngine::onBackendDone(RequestId Id, const BackendResult &Result) {
  State->Server.endRun(Id, Result);
  State->advanceLifecycle();
}

void NodeEngine::onCallDone(CallId Call, const CallResult &Result) {
  State->Client.callDone(Call, Result, State->Time.now());
  State->advanceLifecycle();
}

void NodeEngine::onDatagram(HostAddress From, const GossipMessage &Message) {
  State->datagram(From, Message);
  State->advanceLifecycle();
}

void NodeEngine::onDrain() {
  if (State->handleLifecycleEvent(LifecycleEvent::Drain)) {
    State->Out.logEvent(LogEvent::DrainRequested,
                        {{"inProgress", std::to_string(inProgress())}});
    State->DrainStart = State->Time.now();
    State->Answers.setLeaving();
    State->Members.leave(State->Time.now());
  }
  State->advanceLifecycle();
}

void NodeEngine::onClaimMessage(const ProcessId &To,
                                const ClaimMessage &Message) {
  State->Server.onClaimMessage(To, Message);
  State->advanceLifecycle();
}

void NodeEngine::onConfiguration(HostAddress From,
                                 const ConfigurationMessage &Message) {
  State->Configuration.onMessage(From, Message, State->Time.now());
  State->advanceLifecycle();
}

void NodeEngine::onCrashReports(std::span<const CrashReport> Reports) {
  for (const CrashReport &Report : Reports)
    State->Guard.onReport(Report, State->Time.now());
}

void NodeEngine::onLogPage(const LogReadResult &Page) {
  State->Configuration.onLogPage(Page, State->Time.now());
  State->advanceLifecycle();
}

void NodeEngine::onLogReadFailed() {
  State->Configuration.onReadFailed(State->Time.now());
}

void NodeEngine::tick() { State->tick(); }

Instant NodeEngine::nextWakeup() const {
  const Instant Deadline =
      std::min(State->Server.nextDeadline(), State->Client.nextDeadline());
  return std::min(Deadline, State->LastTick + TickPeriod);
}

Explanation NodeEngine::explain(const ServiceName &Service,
                                const OperationName &Operation) const {
  Explanation Result;
  const ServicePolicy *Policy = State->Policies.service(Service);
  if (Policy == nullptr || Policy->Operations.count(Operation) == 0)
    return Result;
  const OperationPolicy &Rules = Policy->Operations.at(Operation);
  Result.KnownOperation = true;
  Result.Rank = Rules.Rank;
  Result.Idempotent = Rules.Idempotent;
  Result.Deadline = Rules.Deadline;
  State->explainRoute(Service, Operation, Result);
  return Result;
}

std::string_view NodeEngine::state() const { return State->Lifecycle.state(); }

bool NodeEngine::hasEnded() const { return State->Lifecycle.hasEnded(); }

std::size_t NodeEngine::members() const {
  return State->Members.members().table().presentCount();
}

std::size_t NodeEngine::inProgress() const { return State->inProgress(); }

} // namespace camphorpin
