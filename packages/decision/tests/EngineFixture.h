#ifndef CAMPHORPIN_TESTS_ENGINEFIXTURE_H
#define CAMPHORPIN_TESTS_ENGINEFIXTURE_H

#include "camphorpin/Engine.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorpin::testing {

/// \returns the policies of a mesh of the services "orders" and "lots".
inline PolicySet fixedPolicies() {
  PolicySet Policies;
  Policies.Mesh.Ranks = {{"urgent", 0.02, 1.0}, {"lookup", 0.01, 1.0}};
  ServicePolicy Service;
  Service.Slots = 4;
  Service.QueueLimit = 8;
  Service.Operations[OperationName("pay")] = {
      .Rank = Rank(0), .Deadline = Duration::millis(1000)};
  Service.Operations[OperationName("status")] = {
      .Rank = Rank(1), .Idempotent = true, .Deadline = Duration::millis(500)};
  for (std::string_view Name : {"lots", "orders"}) {
    Service.Service = ServiceName(Name);
    Policies.Services.push_back(Service);
  }
  return Policies;
}

/// \class RecordedCall
/// \brief A call that the engine sent.
struct RecordedCall {
  CallId Call{};
  RequestId Id{};
  HostAddress Target;
  RequestContext Context;
};

/// \class RecordedConfiguration
/// \brief A configuration message that the engine sent.
struct RecordedConfiguration {
  HostAddress To;
  ConfigurationMessage Message;
};

/// \class RecordingActions
/// \brief Records the actions of the engine.
class RecordingActions : public Actions {
public:
  void startRun(RequestId Id, const RequestContext &Context) override {
    StartedRuns.push_back(Id);
    Contexts[Id] = Context;
  }
  void cancelRun(RequestId Id) override { CancelledRuns.push_back(Id); }
  void sendCall(CallId Call, RequestId Id, HostAddress Target,
                const RequestContext &Context) override {
    Calls.push_back({Call, Id, Target, Context});
  }
  void cancelCall(CallId Call) override { CancelledCalls.push_back(Call); }
  void answer(RequestId Id, const Answer &Value) override {
    Answers[Id].push_back(Value);
  }
  void storeAnswer(RequestId Id) override { StoredAnswers.insert(Id); }
  void dropAnswer(RequestId Id) override { StoredAnswers.erase(Id); }
  void sendClaim(const ProcessId & /*To*/,
                 const ClaimMessage & /*Message*/) override {}
  void sendConfiguration(HostAddress To,
                         const ConfigurationMessage &Message) override {
    Configuration.push_back({To, Message});
  }
  void sendCrashReports(HostAddress /*To*/,
                        std::span<const CrashReport> /*Reports*/) override {}
  void readLog(std::uint64_t From, std::size_t /*Max*/) override {
    LogReads.push_back(From);
  }
  void appendLog(std::string_view Record) override {
    Appended.emplace_back(Record);
  }
  void sendDatagram(HostAddress /*To*/,
                    const GossipMessage & /*Message*/) override {}
  void logEvent(LogEvent Event, const LogFields & /*Fields*/) override {
    Events.push_back(Event);
  }

  /// \returns the answer to \p Id, or nothing unless there is exactly one.
  std::optional<Answer> singleAnswer(RequestId Id) const {
    const auto Found = Answers.find(Id);
    if (Found == Answers.end() || Found->second.size() != 1)
      return std::nullopt;
    return Found->second.front();
  }

  std::vector<RequestId> StartedRuns;
  std::map<RequestId, RequestContext> Contexts;
  std::vector<RequestId> CancelledRuns;
  std::vector<RecordedCall> Calls;
  std::vector<CallId> CancelledCalls;
  std::map<RequestId, std::vector<Answer>> Answers;
  std::set<RequestId> StoredAnswers;
  std::vector<RecordedConfiguration> Configuration;
  std::vector<std::string> Appended;
  std::vector<std::uint64_t> LogReads;
  std::vector<LogEvent> Events;
};

/// \class EngineFixture
/// \brief One node beside a backend server of "orders", under virtual time.
class EngineFixture {
public:
  explicit EngineFixture(const EngineOptions &Options = defaultOptions())
      : Time(Instant::fromMillis(1780000000000)), Source(7),
        Engine(Options, Out, Time, Source) {
    Engine.onStarted();
  }

  static EngineOptions defaultOptions() {
    EngineOptions Options;
    Options.Self = {HostAddress{0x7F000001, 7000}, 1};
    Options.Service = ServiceName("orders");
    Options.Zone = ZoneName("z1");
    Options.Region = RegionName("r1");
    Options.Policies = fixedPolicies();
    return Options;
  }

  static RequestInfo requestInfo(std::string_view Operation) {
    RequestInfo Info;
    Info.Service = ServiceName("orders");
    Info.Operation = OperationName(Operation);
    Info.Caller = CallerName("tester");
    return Info;
  }

  /// Adds a member to the mesh: delivers a gossip message from another node,
  /// which serves \p Service.
  ProcessId addMember(std::string_view Service, std::uint16_t Port) {
    const ProcessId Process{HostAddress{0x7F000001, Port}, 1};
    GossipMessage Message;
    Message.Sender = Process;
    Message.Deltas = {{.Process = Process,
                       .Service = ServiceName(Service),
                       .Zone = ZoneName("z1"),
                       .Region = RegionName("r1")}};
    Engine.onDatagram(Process.Address, Message);
    return Process;
  }

  /// Sends a request from a caller.
  /// \returns the id of the request.
  RequestId request(const RequestInfo &Info) {
    const RequestId Id{++LastId};
    Engine.onRequest(Id, Info);
    return Id;
  }

  /// Delivers a call of another node.
  /// \returns the id of the request.
  RequestId deliverCall(const RequestContext &Context) {
    const RequestId Id{++LastId};
    Engine.onCall(Id, Context);
    return Id;
  }

  /// \returns the context of an idempotent call.
  RequestContext idempotentContext() {
    RequestContext Context;
    Context.Key = RequestKey::make(Time.wallNow(), Source);
    Context.Root = Context.Key;
    Context.Service = ServiceName("orders");
    Context.Operation = OperationName("status");
    Context.Caller = CallerName("tester");
    Context.Rank = Rank(1);
    Context.Idempotent = true;
    Context.Remaining = Duration::millis(500);
    Context.HopsLeft = 5;
    return Context;
  }

  /// Advances the clock by \p Span and calls tick() every 10 ms.
  void advance(Duration Span) {
    const Instant End = Time.now() + Span;
    while (Time.now() < End) {
      Time.advance(Duration::millis(10));
      Engine.tick();
    }
  }

  ManualClock Time;
  SeededRandom Source;
  RecordingActions Out;
  NodeEngine Engine;
  std::uint64_t LastId = 0;
};

} // namespace camphorpin::testing

#endif
