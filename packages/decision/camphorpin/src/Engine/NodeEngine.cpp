#include "camphorpin/src/Engine/NodeEngine.h"

#include "camphorpin/src/Engine/CallOriginator.h"
#include "camphorpin/src/Engine/CallServer.h"
#include "camphorpin/src/Engine/MemberDirectory.h"
#include "camphorpin/src/Engine/Refusal.h"

#include <algorithm>

namespace camphorpin {

using detail::badRequest;
using detail::NestedCall;
using detail::refusal;

namespace {

/// Interval of the periodic work of the modules.
constexpr Duration TickPeriod = Duration::millis(50);
/// A draining node refuses work for this long before its ports close, so that
/// the leaving notice reaches its callers first and no call meets a closed
/// connection.
constexpr Duration DrainLinger = Duration::seconds(1);

} // namespace

class NodeEngine::Impl {
public:
  Impl(const EngineOptions &Options, Actions &Out, const Clock &Time,
       Random &Source, const PolicySource &Policies)
      : Options(Options), Out(Out), Time(Time), Source(Source),
        Policies(Policies), Members(Options, Out, Source), Answers(Out),
        Server(Out, Answers, Options.Service),
        Originator(Out, Answers, Members) {}

  void request(RequestId Id, const RequestInfo &Info);
  void call(RequestId Id, const RequestContext &Context);
  void advanceLifecycle();
  bool move(LifecycleEvent Event);
  void announceExit();
  std::size_t inProgress() const {
    // A run may still be going on after its call was answered.
    return std::max(Answers.size(),
                    Server.inProgress() + Originator.inProgress());
  }

  EngineOptions Options;
  Actions &Out;
  const Clock &Time;
  Random &Source;
  const PolicySource &Policies;
  detail::MemberDirectory Members;
  detail::AnswerGate Answers;
  detail::CallServer Server;
  detail::CallOriginator Originator;
  NodeLifecycle Lifecycle;
  Instant DrainStart;

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
  if (!Answers.open(Id))
    return;
  const OperationPolicy *Policy = operation(Info);
  if (Policy == nullptr) {
    Answers.answer(Id, badRequest(RefusalReason::BadRequest));
    return;
  }
  RequestContext Context;
  if (Info.Parent) {
    const std::string Target =
        Info.Service.string() + "/" + Info.Operation.string();
    const std::optional<NestedCall> Nested =
        Server.nest(*Info.Parent, Target, Info.Step, Time.now());
    if (!Nested) {
      Answers.answer(Id, badRequest(RefusalReason::BadRequest));
      return;
    }
    Context = inherited(*Nested, Info, *Policy);
  } else {
    if (!Policy->Idempotent && !Info.Key) {
      Answers.answer(Id, badRequest(RefusalReason::KeyRequired));
      return;
    }
    Context = fresh(Info, *Policy);
  }
  Context.Service = Info.Service;
  Context.Operation = Info.Operation;
  Context.Rank = Policy->Rank;
  Context.Idempotent = Policy->Idempotent;
  Answers.setRank(Id, Policy->Rank);
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
    Answers.answer(Id, refusal(Context, Reason));
    return;
  }
  --Context.HopsLeft;
  Originator.start(Id, Context, Time.now());
}

void NodeEngine::Impl::call(RequestId Id, const RequestContext &Context) {
  if (!Answers.open(Id))
    return;
  Answers.setRank(Id, Context.Rank);
  RefusalReason Reason = RefusalReason::None;
  if (!Lifecycle.acceptsWork())
    Reason = RefusalReason::Draining;
  else if (inProgress() >= Options.MaxRequests)
    Reason = RefusalReason::NodeBusy;
  if (Reason != RefusalReason::None) {
    Answers.answer(Id, refusal(Context, Reason));
    return;
  }
  Server.accept(Id, Context, Time.now());
}

bool NodeEngine::Impl::move(LifecycleEvent Event) {
  const std::string Before(Lifecycle.state());
  if (!Lifecycle.handle(Event))
    return false;
  Out.logEvent(LogEvent::StateChanged,
               {{"from", Before}, {"to", std::string(Lifecycle.state())}});
  return true;
}

void NodeEngine::Impl::announceExit() {
  const Instant Now = Time.now();
  Members.exit(Now);
  // Sends the urgent notice, because no other tick follows.
  Members.tick(Now);
}

void NodeEngine::Impl::advanceLifecycle() {
  if (Members.mayServe(Time.now()))
    move(LifecycleEvent::Joined);
  if (Lifecycle.isDraining() && inProgress() == 0 &&
      Time.now() - DrainStart >= DrainLinger)
    move(LifecycleEvent::WorkFinished);
  if (Lifecycle.isLeaving() && move(LifecycleEvent::HandedOver))
    announceExit();
}

NodeEngine::NodeEngine(const EngineOptions &Options, Actions &Out,
                       const Clock &Time, Random &Source,
                       const PolicySource &Policies)
    : State(std::make_unique<Impl>(Options, Out, Time, Source, Policies)) {}

NodeEngine::~NodeEngine() = default;

void NodeEngine::onStarted() {
  State->move(LifecycleEvent::Started);
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
  State->Originator.cancel(Id, State->Time.now());
}

void NodeEngine::onBackendDone(RequestId Id, const BackendResult &Result) {
  State->Server.finished(Id, Result, State->Time.now());
  State->advanceLifecycle();
}

void NodeEngine::onCallDone(CallId Call, const CallResult &Result) {
  State->Originator.callDone(Call, Result, State->Time.now());
  State->advanceLifecycle();
}

void NodeEngine::onDatagram(HostAddress From, const GossipMessage &Message) {
  State->Members.onGossip(From, Message, State->Time.now());
  State->advanceLifecycle();
}

void NodeEngine::onDrain() {
  if (State->move(LifecycleEvent::Drain)) {
    State->Out.logEvent(LogEvent::DrainRequested,
                        {{"inProgress", std::to_string(inProgress())}});
    State->DrainStart = State->Time.now();
    State->Answers.setLeaving();
    State->Members.leave(State->Time.now());
  }
  State->advanceLifecycle();
}

void NodeEngine::tick() {
  const Instant Now = State->Time.now();
  State->Members.tick(Now);
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

std::size_t NodeEngine::members() const {
  return State->Members.members().table().present();
}

std::size_t NodeEngine::inProgress() const { return State->inProgress(); }

} // namespace camphorpin
