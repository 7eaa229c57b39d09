#include "camphorpin/src/Engine/NodeEngine.h"

#include "camphorpin/src/Engine/CallOriginator.h"
#include "camphorpin/src/Engine/CallServer.h"
#include "camphorpin/src/Engine/Refusal.h"

#include <algorithm>

namespace camphorpin {

using detail::badRequest;
using detail::NestedCall;
using detail::refusal;

namespace {

/// Interval of the periodic work of the modules.
constexpr Duration TickPeriod = Duration::millis(50);

} // namespace

class NodeEngine::Impl {
public:
  Impl(const EngineOptions &Options, Actions &Out, const Clock &Time,
       Random &Source, const PolicySource &Policies)
      : Options(Options), Out(Out), Time(Time), Source(Source),
        Policies(Policies), Peers(Options), Server(Out, Options.Service),
        Originator(Out, Peers) {}

  void request(RequestId Id, const RequestInfo &Info);
  void call(RequestId Id, const RequestContext &Context);
  void advanceLifecycle();
  std::size_t inProgress() const {
    return Server.inProgress() + Originator.inProgress();
  }

  EngineOptions Options;
  Actions &Out;
  const Clock &Time;
  Random &Source;
  const PolicySource &Policies;
  detail::PeerDirectory Peers;
  detail::CallServer Server;
  detail::CallOriginator Originator;
  NodeLifecycle Lifecycle;

private:
  const OperationPolicy *operation(const RequestInfo &Info) const;
  RequestContext fresh(const RequestInfo &Info, const OperationPolicy &Policy);
  static RequestContext inherited(const NestedCall &Nested,
                                  const RequestInfo &Info,
                                  const OperationPolicy &Policy);
  void dispatch(RequestId Id, RequestContext Context, const RequestInfo &Info);
};

const OperationPolicy *
NodeEngine::Impl::operation(const RequestInfo &Info) const {
  const ServicePolicy *Service = Policies.service(Info.Service);
  if (Service == nullptr)
    return nullptr;
  const auto Found = Service->Operations.find(Info.Operation);
  return Found != Service->Operations.end() ? &Found->second : nullptr;
}

RequestContext NodeEngine::Impl::fresh(const RequestInfo &Info,
                                       const OperationPolicy &Policy) {
  RequestContext Context;
  Context.Key = Info.Key ? *Info.Key : RequestKey::make(Time.wallNow(), Source);
  Context.Root = Context.Key;
  Context.Caller = Info.Caller;
  // A key that the node itself made was never sent before.
  Context.FirstSend = Info.FirstAttempt || !Info.Key;
  Context.Remaining = Policy.Deadline;
  Context.HopsLeft = Policies.mesh().MaxHops;
  return Context;
}

RequestContext NodeEngine::Impl::inherited(const NestedCall &Nested,
                                           const RequestInfo &Info,
                                           const OperationPolicy &Policy) {
  RequestContext Context = Nested.Parent;
  Context.Key = Nested.Key;
  Context.FirstSend = Nested.FirstSend;
  Context.Remaining = std::min(Nested.Parent.Remaining, Policy.Deadline);
  Context.CrashCount = 0;
  if (!Info.Caller.empty())
    Context.Caller = Info.Caller;
  return Context;
}

void NodeEngine::Impl::request(RequestId Id, const RequestInfo &Info) {
  const OperationPolicy *Policy = operation(Info);
  if (Policy == nullptr) {
    Out.answer(Id, badRequest(RefusalReason::BadRequest));
    return;
  }
  RequestContext Context;
  if (Info.Parent) {
    const std::string Target =
        Info.Service.string() + "/" + Info.Operation.string();
    const std::optional<NestedCall> Nested =
        Server.nest(*Info.Parent, Target, Info.Step, Time.now());
    if (!Nested) {
      Out.answer(Id, badRequest(RefusalReason::BadRequest));
      return;
    }
    Context = inherited(*Nested, Info, *Policy);
  } else {
    if (!Policy->Idempotent && !Info.Key) {
      Out.answer(Id, badRequest(RefusalReason::KeyRequired));
      return;
    }
    Context = fresh(Info, *Policy);
  }
  Context.Service = Info.Service;
  Context.Operation = Info.Operation;
  Context.Rank = Policy->Rank;
  Context.Idempotent = Policy->Idempotent;
  dispatch(Id, std::move(Context), Info);
}

void NodeEngine::Impl::dispatch(RequestId Id, RequestContext Context,
                                const RequestInfo &Info) {
  if (Info.Deadline)
    Context.Remaining = std::min(Context.Remaining, *Info.Deadline);
  RefusalReason Reason = RefusalReason::None;
  if (!Lifecycle.acceptsWork() && !Info.Parent)
    Reason = RefusalReason::Draining;
  else if (inProgress() >= Options.MaxRequests)
    Reason = RefusalReason::NodeBusy;
  else if (Context.HopsLeft == 0)
    Reason = RefusalReason::TooDeep;
  else if (Context.Remaining <= Duration())
    Reason = RefusalReason::Deadline;
  if (Reason != RefusalReason::None) {
    Out.answer(Id, refusal(Context, Reason));
    return;
  }
  --Context.HopsLeft;
  Originator.start(Id, Context, Time.now());
}

void NodeEngine::Impl::call(RequestId Id, const RequestContext &Context) {
  RefusalReason Reason = RefusalReason::None;
  if (!Lifecycle.acceptsWork())
    Reason = RefusalReason::Draining;
  else if (inProgress() >= Options.MaxRequests)
    Reason = RefusalReason::NodeBusy;
  if (Reason != RefusalReason::None) {
    Answer Value = refusal(Context, Reason);
    Value.Leaving = Reason == RefusalReason::Draining;
    Out.answer(Id, Value);
    return;
  }
  Server.accept(Id, Context, Time.now());
}

void NodeEngine::Impl::advanceLifecycle() {
  if (Lifecycle.isDraining() && inProgress() == 0)
    Lifecycle.handle(LifecycleEvent::WorkFinished);
  if (Lifecycle.isLeaving())
    Lifecycle.handle(LifecycleEvent::HandedOver);
}

NodeEngine::NodeEngine(const EngineOptions &Options, Actions &Out,
                       const Clock &Time, Random &Source,
                       const PolicySource &Policies)
    : State(std::make_unique<Impl>(Options, Out, Time, Source, Policies)) {}

NodeEngine::~NodeEngine() = default;

void NodeEngine::onStarted() {
  State->Lifecycle.handle(LifecycleEvent::Started);
  State->Lifecycle.handle(LifecycleEvent::Joined);
}

void NodeEngine::onRequest(RequestId Id, const RequestInfo &Info) {
  State->request(Id, Info);
}

void NodeEngine::onCall(RequestId Id, const RequestContext &Context) {
  State->call(Id, Context);
}

void NodeEngine::onCancel(RequestId Id) {
  State->Server.cancel(Id);
  State->Originator.cancel(Id);
}

void NodeEngine::onBackendDone(RequestId Id, const BackendResult &Result) {
  State->Server.finished(Id, Result, State->Time.now());
  State->advanceLifecycle();
}

void NodeEngine::onCallDone(CallId Call, const CallResult &Result) {
  State->Originator.callDone(Call, Result, State->Time.now());
  State->advanceLifecycle();
}

void NodeEngine::onDrain() {
  State->Lifecycle.handle(LifecycleEvent::Drain);
  State->advanceLifecycle();
}

void NodeEngine::tick() {
  const Instant Now = State->Time.now();
  State->Server.tick(Now);
  State->Originator.tick(Now);
  State->advanceLifecycle();
}

Instant NodeEngine::nextWakeup() const {
  const Instant Deadline =
      std::min(State->Server.nextDeadline(), State->Originator.nextDeadline());
  return std::min(Deadline, State->Time.now() + TickPeriod);
}

std::string_view NodeEngine::state() const { return State->Lifecycle.state(); }

bool NodeEngine::hasEnded() const { return State->Lifecycle.hasEnded(); }

std::size_t NodeEngine::inProgress() const { return State->inProgress(); }

} // namespace camphorpin
