#include "camphorpin/src/Daemon/DecisionThread.h"

#include "camphorpin/src/Daemon/RequestReader.h"

#include <algorithm>
#include <utility>

namespace camphorpin {

DecisionThread::DecisionThread(const EngineOptions &Options, const Clock &Time,
                               Random &Source, const DecisionPorts &Ports)
    : Time(Time), Ports(Ports), Self(Options.Self),
      Engine(Options, *this, Time, Source) {
  publish();
}

DecisionThread::~DecisionThread() { join(); }

void DecisionThread::start() {
  Thread = std::thread([this] { run(); });
}

void DecisionThread::join() {
  if (Thread.joinable())
    Thread.join();
}

NodeStatus DecisionThread::status() const {
  const std::lock_guard<std::mutex> Lock(StatusMutex);
  return Status;
}

void DecisionThread::run() {
  Engine.onStarted();
  while (!Engine.hasEnded() || !Requests.empty()) {
    publish();
    const Duration Wait =
        std::max(Duration(), Engine.nextWakeup() - Time.now());
    std::optional<NodeEvent> Event = Ports.Events.pop(Wait);
    if (Event)
      std::visit(
          [this](auto &&Value) {
            handle(std::forward<decltype(Value)>(Value));
          },
          *std::move(Event));
    while (!Immediate.empty()) {
      NodeEvent Next = std::move(Immediate.front());
      Immediate.pop_front();
      std::visit(
          [this](auto &&Value) {
            handle(std::forward<decltype(Value)>(Value));
          },
          std::move(Next));
    }
    if (Engine.nextWakeup() <= Time.now())
      Engine.tick();
  }
  // A request may have come since the last look.
  Ports.Events.end();
  publish();
}

void DecisionThread::handle(RequestArrived &&Event) {
  Requests.emplace(Event.Id, Entry{.Body = std::move(Event.Body),
                                   .Sink = std::move(Event.Sink),
                                   .Caller = Event.Info.Caller,
                                   .Arrived = Time.now()});
  Engine.onRequest(Event.Id, Event.Info);
}

void DecisionThread::handle(CallArrived &&Event) {
  Requests.emplace(Event.Id, Entry{.Body = std::move(Event.Body),
                                   .Sink = std::move(Event.Sink),
                                   .Side = RequestSide::Served,
                                   .Caller = Event.Context.Caller,
                                   .Arrived = Time.now()});
  Engine.onCall(Event.Id, Event.Context);
}

void DecisionThread::handle(RequestCancelled &&Event) {
  Engine.onCancel(Event.Id);
}

void DecisionThread::handle(BackendDone &&Event) {
  Current = std::move(Event.Body);
  const auto Found = Requests.find(Event.Id);
  if (Found != Requests.end())
    Found->second.Token.clear();
  Engine.onRunDone(Event.Id, Event.Result);
  Current.reset();
  drop(Event.Id);
}

void DecisionThread::handle(CallDone &&Event) {
  Current = std::move(Event.Body);
  Calls.erase(Event.Call);
  Engine.onCallDone(Event.Call, Event.Result);
  Current.reset();
}

void DecisionThread::handle(DatagramArrived &&Event) {
  if (const GossipMessage *Gossip = std::get_if<GossipMessage>(&Event.Message))
    Engine.onDatagram(Event.From, *Gossip);
  else
    Engine.onCrashReports(std::get<CrashReports>(Event.Message));
}

void DecisionThread::handle(ClaimArrived &&Event) {
  Engine.onClaimMessage(Event.Claim.To, Event.Claim.Message);
}

void DecisionThread::handle(ConfigurationArrived &&Event) {
  Engine.onConfiguration(Event.From, Event.Message);
}

void DecisionThread::handle(LogPageRead &&Event) {
  Engine.onLogPage(Event.Page);
}

void DecisionThread::handle(LogReadFailed && /*Event*/) {
  Engine.onLogReadFailed();
}

void DecisionThread::handle(ExplainRequested &&Event) {
  Event.Reply->set_value(Engine.explain(Event.Service, Event.Operation));
}

void DecisionThread::handle(DrainRequested && /*Event*/) { Engine.onDrain(); }

void DecisionThread::drop(RequestId Id) {
  const auto Found = Requests.find(Id);
  if (Found != Requests.end() && Found->second.Answered &&
      Found->second.Token.empty())
    Requests.erase(Found);
}

void DecisionThread::publish() {
  const std::lock_guard<std::mutex> Lock(StatusMutex);
  Status.State = Engine.state();
  Status.InProgress = Engine.inProgress();
  Status.Members = Engine.memberCount();
}

void DecisionThread::startRun(RequestId Id, const RequestContext &Context) {
  const auto Found = Requests.find(Id);
  const bool Started =
      Ports.Runners != nullptr && Found != Requests.end() &&
      Ports.Runners->run({Id, Context, Found->second.Body, Time.now()});
  if (Started) {
    Found->second.Token = contextToken(Id, Context.Key);
    return;
  }
  Immediate.push_back(BackendDone{
      Id,
      {.Verdict = Verdict::NotRun, .Reason = RefusalReason::NodeBusy},
      nullptr});
}

void DecisionThread::cancelRun(RequestId Id) {
  const auto Found = Requests.find(Id);
  if (Ports.Runners != nullptr && Found != Requests.end() &&
      !Found->second.Token.empty())
    Ports.Runners->cancel(Found->second.Token);
}

void DecisionThread::sendCall(CallId Call, RequestId Id, HostAddress Target,
                              const RequestContext &Context) {
  const auto Found = Requests.find(Id);
  if (Found != Requests.end() &&
      Ports.Rpc.post(SendCall{Call, Target, Context, Found->second.Body})) {
    Calls.emplace(Call, Target);
    return;
  }
  Immediate.push_back(
      CallDone{Call,
               {.Verdict = Verdict::NotRun, .Reason = RefusalReason::NodeBusy},
               nullptr});
}

void DecisionThread::cancelCall(CallId Call) {
  const auto Found = Calls.find(Call);
  if (Found != Calls.end())
    Ports.Rpc.post(CancelCall{Call, Found->second});
}

void DecisionThread::answer(RequestId Id, const Answer &Value) {
  const auto Found = Requests.find(Id);
  if (Found == Requests.end() || std::exchange(Found->second.Answered, true))
    return;
  const Entry &Request = Found->second;
  Ports.Statistics.record({.Side = Request.Side,
                           .Caller = Request.Caller,
                           .Rank = Value.Rank,
                           .Verdict = Value.Verdict,
                           .Reason = Value.Reason,
                           .Elapsed = Time.now() - Request.Arrived});
  Request.Sink->deliver(Value, bodyOf(Value));
  drop(Id);
}

SharedPayload DecisionThread::bodyOf(const Answer &Value) const {
  if (Value.Source == BodySource::None)
    return nullptr;
  if (Value.Source != BodySource::Stored)
    return Current;
  const auto Found = Kept.find(RequestId{Value.SourceId});
  return Found != Kept.end() ? Found->second : nullptr;
}

void DecisionThread::storeAnswer(RequestId Id) { Kept[Id] = Current; }

void DecisionThread::dropAnswer(RequestId Id) { Kept.erase(Id); }

void DecisionThread::sendClaim(const ProcessId &To,
                               const ClaimMessage &Message) {
  // A node may be the mirror of its own former identity.
  if (To.Address == Self.Address)
    Immediate.push_back(ClaimArrived{{To, Message}});
  else
    Ports.Rpc.post(SendControl{To.Address, AddressedClaim{To, Message}});
}

void DecisionThread::sendConfiguration(HostAddress To,
                                       const ConfigurationMessage &Message) {
  Ports.Rpc.post(SendControl{To, Message});
}

void DecisionThread::sendCrashReports(HostAddress To,
                                      std::span<const CrashReport> Reports) {
  Ports.Datagrams.send(To, encodeDatagram(Self, Reports));
}

void DecisionThread::readLog(std::uint64_t From, std::size_t Max) {
  if (Ports.PlatformRecords == nullptr ||
      !Ports.PlatformRecords->read({From, Max}))
    Immediate.push_back(LogReadFailed{});
}

void DecisionThread::appendLog(std::string_view Record) {
  // A record that finds no place is proposed again by the engine.
  if (Ports.PlatformRecords == nullptr ||
      !Ports.PlatformRecords->append(std::string(Record)))
    Ports.Log.write(LogEvent::AppendFailed, {{"detail", "the ring is full"}});
}

void DecisionThread::sendDatagram(HostAddress To,
                                  const GossipMessage &Message) {
  Ports.Datagrams.send(To, encodeDatagram(Message));
}

void DecisionThread::logEvent(LogEvent Event, const LogFields &Fields) {
  Ports.Log.write(Event, Fields);
}

} // namespace camphorpin
