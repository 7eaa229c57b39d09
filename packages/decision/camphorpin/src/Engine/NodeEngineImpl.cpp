#include "camphorpin/src/Engine/NodeEngineImpl.h"

#include "camphorpin/src/Engine/Refusal.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace camphorpin {

using detail::badRequest;
using detail::NestedCall;
using detail::refusal;

namespace {

/// Minimum time between the start of a drain and the closing of the ports. It
/// lets the leaving notice reach the callers first, so that no call meets a
/// closed connection.
constexpr Duration MinDrainTime = Duration::seconds(1);
/// Time during which a draining or leaving node accepts calls for the keys of
/// which it is the home. A change of the home set takes about 1 s: 0.2 s until
/// it is proposed, and one poll of the log by every node.
constexpr Duration LeavingHomeServeTime = Duration::seconds(3);
/// Time during which a draining or leaving node forwards resends of keys.
constexpr Duration ResendForwardTime = Duration::seconds(10);
/// Timeout for the hand-over of the claims of a leaving node. After that the
/// new homes resolve the claims from its mirror, which takes longer but loses
/// nothing.
constexpr Duration HandOverTimeout = Duration::seconds(10);
/// A starting node that has policies in its settings serves after this time,
/// even if it could not read the log and the home set of its service.
constexpr Duration InitialReadTimeout = Duration::seconds(10);
constexpr std::string_view MeshName = "mesh";
constexpr std::string_view ServicePrefix = "service/";
constexpr std::string_view HomesPrefix = "homes/";
/// Maximum number of crash reports that are sent in one tick, in one message.
constexpr std::size_t MaxReportsPerTick = 32;
/// Number of nodes to which each message of crash reports is sent.
constexpr std::size_t ReportFanout = 3;

/// \returns a hash of the request that is the same on every node.
std::uint64_t fingerprint(const RequestContext &Context,
                          std::uint64_t BodyHash) {
  const std::string Text = Context.Service.string() + "\n" +
                           Context.Operation.string() + "\n" +
                           Context.Caller.string();
  return stableHash(stableHash(Text), BodyHash);
}

} // namespace

const OperationPolicy *
NodeEngine::Impl::findOperation(const RequestInfo &Info) const {
  const ServicePolicy *Service = Policies.service(Info.Service);
  if (Service == nullptr)
    return nullptr;
  const auto Found = Service->Operations.find(Info.Operation);
  return Found != Service->Operations.end() ? &Found->second : nullptr;
}

RequestContext
NodeEngine::Impl::makeRootContext(const RequestInfo &Info,
                                  const OperationPolicy &Policy) {
  RequestContext Context;
  Context.Key =
      Info.Key ? *Info.Key : RequestKey::make(Time.wallNow(), RandomSource);
  Context.Root = Context.Key;
  Context.Caller = Info.Caller;
  // A key that this node has generated was never sent before.
  Context.FirstSend = Info.FirstSend || !Info.Key;
  Context.Remaining = Policy.Deadline;
  Context.HopsLeft = Policies.mesh().MaxHops;
  Context.ExtraAttempts = Policies.mesh().ExtraAttempts;
  return Context;
}

RequestContext
NodeEngine::Impl::makeNestedContext(const NestedCall &Nested,
                                    const RequestInfo &Info,
                                    const OperationPolicy &Policy) {
  RequestContext Context = Nested.InheritedContext;
  Context.Key = Nested.Key;
  Context.FirstSend = Nested.FirstSend;
  Context.Remaining =
      std::min(Nested.InheritedContext.Remaining, Policy.Deadline);
  Context.CrashCount = 0;
  if (!Info.Caller.empty())
    Context.Caller = Info.Caller;
  return Context;
}

void NodeEngine::Impl::handleRequest(RequestId Id, const RequestInfo &Info) {
  if (!Answers.open(Id))
    return;
  const OperationPolicy *Policy = findOperation(Info);
  if (Policy == nullptr) {
    Answers.answer(Id, badRequest(RefusalReason::BadRequest));
    return;
  }
  RequestContext Context;
  if (Info.Parent) {
    const std::string Target =
        Info.Service.string() + "/" + Info.Operation.string();
    const std::optional<NestedCall> Nested =
        Server.beginNestedCall(*Info.Parent, Target, Info.Step);
    if (!Nested) {
      Answers.answer(Id, badRequest(RefusalReason::BadRequest));
      return;
    }
    Context = makeNestedContext(*Nested, Info, *Policy);
  } else {
    if (!Policy->Idempotent && !Info.Key) {
      Answers.answer(Id, badRequest(RefusalReason::KeyRequired));
      return;
    }
    Context = makeRootContext(Info, *Policy);
  }
  Context.Service = Info.Service;
  Context.Operation = Info.Operation;
  Context.Rank = Policy->Rank;
  Context.Idempotent = Policy->Idempotent;
  Answers.setRank(Id, Policy->Rank);
  dispatch(Id, std::move(Context), Info);
}

bool NodeEngine::Impl::acceptsNonIdempotentCall(
    const RequestContext &Context) const {
  const bool IsShuttingDown = Lifecycle.isDraining() || Lifecycle.isLeaving();
  return IsShuttingDown && !Context.Idempotent &&
         Time.now() - DrainStart < LeavingHomeServeTime;
}

bool NodeEngine::Impl::shouldForward(const RequestContext &Context) const {
  const bool IsShuttingDown = Lifecycle.isDraining() || Lifecycle.isLeaving();
  return IsShuttingDown && !Context.Idempotent && !Context.FirstSend &&
         Time.now() - DrainStart < ResendForwardTime;
}

RefusalReason NodeEngine::Impl::refusalReason(const RequestContext &Context,
                                              const RequestInfo &Info) const {
  // Nested calls of accepted requests are sent during a drain as well.
  if (!Lifecycle.acceptsWork() && !Info.Parent && !shouldForward(Context))
    return RefusalReason::Draining;
  // The count includes this request, which is already open.
  if (inProgress() > Options.MaxRequests)
    return RefusalReason::NodeBusy;
  if (Context.HopsLeft == 0)
    return RefusalReason::TooDeep;
  return Context.Remaining <= Duration() ? RefusalReason::Deadline
                                         : RefusalReason::None;
}

void NodeEngine::Impl::dispatch(RequestId Id, RequestContext Context,
                                const RequestInfo &Info) {
  if (Info.Deadline)
    Context.Remaining = std::min(Context.Remaining, *Info.Deadline);
  Context.Fingerprint = fingerprint(Context, Info.BodyHash);
  const RefusalReason Reason = refusalReason(Context, Info);
  if (Reason != RefusalReason::None) {
    if (Info.Parent)
      Server.endNestedCall({.Parent = *Info.Parent,
                            .AllocatedAttempts = Context.ExtraAttempts,
                            .UnusedAttempts = Context.ExtraAttempts});
    Answers.answer(Id, refusal(Context, Reason));
    return;
  }
  --Context.HopsLeft;
  const bool MayBeResent = Info.Key.has_value() || Info.Parent.has_value();
  Client.start(Id, Context, {Info.Parent, MayBeResent}, Time.now());
}

void NodeEngine::Impl::handleCall(RequestId Id, const RequestContext &Context) {
  if (!Answers.open(Id))
    return;
  Answers.setRank(Id, Context.Rank);
  RefusalReason Reason = RefusalReason::None;
  if (!Lifecycle.acceptsWork() && !acceptsNonIdempotentCall(Context))
    Reason = RefusalReason::Draining;
  else if (inProgress() > Options.MaxRequests)
    Reason = RefusalReason::NodeBusy;
  if (Reason != RefusalReason::None) {
    Answers.answer(Id, refusal(Context, Reason));
    return;
  }
  Server.accept(Id, Context);
}

void NodeEngine::Impl::handleDatagram(HostAddress From,
                                      const GossipMessage &Message) {
  const ProcessId Before = Members.membership().self().Process;
  Members.onGossip(From, Message, Time.now());
  // Readings in acknowledgements are handled by onReadingInAck().
  if (Options.HasLog && Message.Kind != GossipKind::Ack)
    Configuration.onUnsolicitedReading(From, Message.Reading, Time.now());
  if (Members.membership().self().Process != Before)
    Server.resetClaims();
}

void NodeEngine::Impl::explainRoute(const ServiceName &Service,
                                    const OperationName &Operation,
                                    Explanation &Result) {
  const Instant Now = Time.now();
  const MemberTable &Table = Members.membership().table();
  for (const HostAddress &Address : Table.membersOf(Service))
    Result.Members += Table.find(Address)->acceptsWork() ? 1 : 0;
  Result.HomeEpoch = Client.homeEpoch(Service);
  Result.LowestAccepted = Client.lowestAccepted({Service, Operation}, Now);
  if (const std::optional<ProcessId> Target = Members.pick(Service, {}, Now))
    Result.Target = Target->Address;
  if (!Lifecycle.acceptsWork())
    Result.Refusal = RefusalReason::Draining;
  else if (inProgress() >= Options.MaxRequests)
    Result.Refusal = RefusalReason::NodeBusy;
  else if (Result.LowestAccepted.moreUrgentThan(Result.Rank))
    Result.Refusal = RefusalReason::Shed;
  else if (Result.Idempotent && !Result.Target)
    Result.Refusal = RefusalReason::NoBackend;
  else if (!Result.Idempotent && Result.HomeEpoch == 0)
    Result.Refusal = RefusalReason::HomeChanging;
}

void NodeEngine::Impl::applyPolicies() {
  Client.applyPolicy(Policies.mesh());
  const ServicePolicy *OwnPolicy = Policies.service(Options.Service);
  if (OwnPolicy != nullptr && !Policies.mesh().Ranks.empty())
    Server.applyPolicy(Policies.mesh(), *OwnPolicy);
}

void NodeEngine::Impl::gossipCrashReports() {
  const std::vector<CrashReport> Reports =
      Guard.takeReports(MaxReportsPerTick, Time.now());
  if (Reports.empty())
    return;
  for (const HostAddress &To : Members.randomPeers(ReportFanout))
    Out.sendCrashReports(To, Reports);
}

void NodeEngine::Impl::documentChanged(const ConfigurationDocument &Document) {
  const std::string_view Name = Document.Name.view();
  std::string Faults;
  if (Name.starts_with(HomesPrefix)) {
    const std::optional<HomeSet> Set = HomeSet::parse(Document.Content);
    const ServiceName Service(Name.substr(HomesPrefix.size()));
    if (!Set || Set->epoch() != Document.Version) {
      Faults = "malformed home set, or its epoch is not the document version";
    } else {
      Client.adopt(Service, *Set);
      if (Service == Options.Service)
        Server.adopt(*Set);
    }
  } else if (Name == MeshName || Name.starts_with(ServicePrefix)) {
    Faults = Policies.apply(Document.Name, Document.Content);
    applyPolicies();
  }
  if (!Faults.empty())
    Out.logEvent(LogEvent::DocumentRejected,
                 {{"document", Document.Name.string()}, {"faults", Faults}});
}

LogReading NodeEngine::Impl::currentReading() const {
  return Configuration.reading(Time.now());
}

void NodeEngine::Impl::onReadingInAck(HostAddress From,
                                      const LogReading &Reading,
                                      Instant SentAt) {
  if (Options.HasLog)
    Configuration.onReadingInReply(From, Reading, SentAt, Time.now());
}

void NodeEngine::Impl::tickConfiguration(Instant Now) {
  if (!Options.HasLog)
    return;
  // A node that is still joining gets the configuration from other nodes, so
  // that a recovering availability zone does not read the whole log once per
  // node.
  if (Members.isJoinFinished(Now))
    Configuration.tick(Now);
  if (const std::optional<Instant> AsOf = Configuration.upToDateAsOf())
    Server.onLogUpToDate(*AsOf);
  for (const EntryRecord &Entry : Configuration.entryPoints(Now))
    Members.addEntryPoint(Entry.Address);
  maybeAdvertiseEntryPoint(Now);
}

void NodeEngine::Impl::maybeAdvertiseEntryPoint(Instant Now) {
  if (!Configuration.upToDateAsOf() || !Lifecycle.acceptsWork())
    return;
  const MemberTable &Table = Members.membership().table();
  std::size_t CurrentEntries = 0;
  for (const EntryRecord &Entry : Configuration.entryPoints(Now)) {
    const MemberRecord *Record = Table.find(Entry.Address);
    const bool IsCurrent = Record != nullptr && Record->present() &&
                           Record->Process.Incarnation == Entry.Incarnation;
    CurrentEntries += IsCurrent && Entry.Region == Options.Region ? 1 : 0;
  }
  const MemberRecord &Self = Members.membership().self();
  if (EntrySelection.shouldAdvertise(CurrentEntries, Table.presentCount(),
                                     RandomSource, Now))
    Out.appendLog(
        formatRecord(EntryRecord{Self.Process.Address, Self.Process.Incarnation,
                                 Self.Zone, Self.Region}));
}

bool NodeEngine::Impl::isReadyToServe(Instant Now) const {
  // Without a policy every request would be refused as a bad request.
  const bool HasPolicy = !Policies.mesh().Ranks.empty();
  const bool HasRead =
      !Options.HasLog ||
      (Configuration.upToDateAsOf().has_value() && Server.hasHomeSet());
  const bool TimedOut = FirstTickAt && Now - *FirstTickAt >= InitialReadTimeout;
  return HasPolicy && (HasRead || TimedOut) && Members.isJoinFinished(Now);
}

void NodeEngine::Impl::tick() {
  const Instant Now = Time.now();
  LastTick = Now;
  if (!FirstTickAt)
    FirstTickAt = Now;
  tickConfiguration(Now);
  Members.tick(Now);
  Guard.tick(Now);
  Server.tick(Now);
  Client.tick(Now);
  gossipCrashReports();
  advanceLifecycle();
}

bool NodeEngine::Impl::handleLifecycleEvent(LifecycleEvent Event) {
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
  // Sends the exit notice now, because no other tick follows.
  Members.tick(Now);
}

void NodeEngine::Impl::advanceLifecycle() {
  if (isReadyToServe(Time.now()))
    handleLifecycleEvent(LifecycleEvent::Joined);
  const Instant Now = Time.now();
  if (Lifecycle.isDraining() && inProgress() == 0 &&
      Now - DrainStart >= MinDrainTime &&
      handleLifecycleEvent(LifecycleEvent::WorkFinished))
    WorkFinishedAt = Now;
  if (!Lifecycle.isLeaving())
    return;
  const bool TimedOut = Now - *WorkFinishedAt >= HandOverTimeout;
  // Calls were accepted until another home had taken over.
  if ((Server.mayExit() || TimedOut) && inProgress() == 0 &&
      handleLifecycleEvent(LifecycleEvent::HandedOver))
    announceExit();
}

} // namespace camphorpin
