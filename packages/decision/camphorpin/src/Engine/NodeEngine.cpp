#include "camphorpin/src/Engine/NodeEngine.h"

#include "camphorpin/src/Engine/NodeEngineImpl.h"

#include <algorithm>
#include <string>

namespace camphorpin {

namespace {

/// Period of the timers of the modules.
constexpr Duration TickPeriod = Duration::millis(50);

} // namespace

NodeEngine::NodeEngine(const EngineOptions &Options, Actions &Out,
                       const Clock &Time, Random &RandomSource)
    : PImpl(std::make_unique<Impl>(Options, Out, Time, RandomSource)) {}

NodeEngine::~NodeEngine() = default;

void NodeEngine::onStarted() {
  PImpl->handleLifecycleEvent(LifecycleEvent::Started);
  tick();
}

void NodeEngine::onRequest(RequestId Id, const RequestInfo &Info) {
  PImpl->handleRequest(Id, Info);
}

void NodeEngine::onCall(RequestId Id, const RequestContext &Context) {
  PImpl->handleCall(Id, Context);
}

void NodeEngine::onCancel(RequestId Id) {
  PImpl->Server.cancel(Id);
  PImpl->Client.cancel(Id, PImpl->Time.now());
}

void NodeEngine::onRunDone(RequestId Id, const BackendResult &Result) {
  PImpl->Server.endRun(Id, Result);
  PImpl->advanceLifecycle();
}

void NodeEngine::onCallDone(CallId Call, const CallResult &Result) {
  PImpl->Client.callDone(Call, Result, PImpl->Time.now());
  PImpl->advanceLifecycle();
}

void NodeEngine::onDatagram(HostAddress From, const GossipMessage &Message) {
  PImpl->handleDatagram(From, Message);
  PImpl->advanceLifecycle();
}

void NodeEngine::onDrain() {
  if (PImpl->handleLifecycleEvent(LifecycleEvent::Drain)) {
    PImpl->Out.logEvent(LogEvent::DrainRequested,
                        {{"inProgress", std::to_string(inProgress())}});
    PImpl->DrainStart = PImpl->Time.now();
    PImpl->Answers.setLeaving();
    PImpl->Members.leave(PImpl->Time.now());
  }
  PImpl->advanceLifecycle();
}

void NodeEngine::onClaimMessage(const ProcessId &To,
                                const ClaimMessage &Message) {
  PImpl->Server.onClaimMessage(To, Message);
  PImpl->advanceLifecycle();
}

void NodeEngine::onConfiguration(HostAddress From,
                                 const ConfigurationMessage &Message) {
  PImpl->Configuration.onMessage(From, Message, PImpl->Time.now());
  PImpl->advanceLifecycle();
}

void NodeEngine::onCrashReports(std::span<const CrashReport> Reports) {
  for (const CrashReport &Report : Reports)
    PImpl->Guard.onReport(Report, PImpl->Time.now());
}

void NodeEngine::onLogPage(const LogReadResult &Page) {
  PImpl->Configuration.onLogPage(Page, PImpl->Time.now());
  PImpl->advanceLifecycle();
}

void NodeEngine::onLogReadFailed() {
  PImpl->Configuration.onLogReadFailed(PImpl->Time.now());
}

void NodeEngine::tick() { PImpl->tick(); }

Instant NodeEngine::nextWakeup() const {
  const Instant Deadline =
      std::min(PImpl->Server.nextDeadline(), PImpl->Client.nextDeadline());
  return std::min(Deadline, PImpl->LastTick + TickPeriod);
}

Explanation NodeEngine::explain(const ServiceName &Service,
                                const OperationName &Operation) const {
  Explanation Result;
  const ServicePolicy *Policy = PImpl->Policies.service(Service);
  if (Policy == nullptr || Policy->Operations.count(Operation) == 0)
    return Result;
  const OperationPolicy &Rules = Policy->Operations.at(Operation);
  Result.KnownOperation = true;
  Result.Rank = Rules.Rank;
  Result.Idempotent = Rules.Idempotent;
  Result.Deadline = Rules.Deadline;
  PImpl->explainRoute(Service, Operation, Result);
  return Result;
}

std::string_view NodeEngine::state() const { return PImpl->Lifecycle.state(); }

bool NodeEngine::hasEnded() const { return PImpl->Lifecycle.hasEnded(); }

std::size_t NodeEngine::memberCount() const {
  return PImpl->Members.membership().table().presentCount();
}

std::size_t NodeEngine::inProgress() const { return PImpl->inProgress(); }

} // namespace camphorpin
