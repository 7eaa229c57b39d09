// Drives two engines under a virtual clock: the ingress node of a request, and
// the node beside the backend server that runs it. See docs/engine.md.
#include "camphorpin/Engine.h"

#include <cstdio>
#include <string>

using namespace camphorpin;

namespace {

/// \class PrintingActions
/// \brief Prints the actions for requests and records the ids that the next
/// events need. A daemon would send messages instead.
class PrintingActions final : public Actions {
public:
  explicit PrintingActions(std::string_view Name) : Name(Name) {}

  void startRun(RequestId Id, const RequestContext &Context) override {
    print("start the run of " + Context.Operation.string());
    LastRun = Id;
  }
  void sendCall(CallId Call, RequestId /*Id*/, HostAddress Target,
                const RequestContext &Context) override {
    print("call " + Target.toString());
    LastCall = Call;
    LastContext = Context;
  }
  void answer(RequestId /*Id*/, const Answer &Value) override {
    print("answer: " + std::string(toString(Value.Verdict)));
    LastAnswer = Value;
  }
  void cancelRun(RequestId /*Id*/) override {}
  void cancelCall(CallId /*Call*/) override {}
  void storeAnswer(RequestId /*Id*/) override {}
  void dropAnswer(RequestId /*Id*/) override {}
  void sendClaim(const ProcessId & /*To*/,
                 const ClaimMessage & /*Message*/) override {}
  void sendConfiguration(HostAddress /*To*/,
                         const ConfigurationMessage & /*Message*/) override {}
  void sendCrashReports(HostAddress /*To*/,
                        std::span<const CrashReport> /*Reports*/) override {}
  void readLog(std::uint64_t /*From*/, std::size_t /*Max*/) override {}
  void appendLog(std::string_view /*Record*/) override {}
  void sendDatagram(HostAddress /*To*/,
                    const GossipMessage & /*Message*/) override {}
  void logEvent(LogEvent /*Event*/, const LogFields & /*Fields*/) override {}

  RequestId LastRun{};
  CallId LastCall{};
  RequestContext LastContext;
  Answer LastAnswer;

private:
  void print(const std::string &Text) const {
    std::printf("%s: %s\n", Name.c_str(), Text.c_str());
  }

  std::string Name;
};

PolicySet policies() {
  PolicySet Policies;
  Policies.Mesh.Ranks = {{"lookup", 0.01, 1.0}};
  ServicePolicy Catalogue;
  Catalogue.Service = ServiceName("catalogue");
  Catalogue.Slots = 4;
  Catalogue.QueueLimit = 8;
  Catalogue.Operations[OperationName("browse")] = {.Idempotent = true};
  Policies.Services.push_back(Catalogue);
  return Policies;
}

EngineOptions options(std::uint16_t Port, std::string_view Service) {
  EngineOptions Options;
  Options.Self = {HostAddress{0x7F000001, Port}, 1};
  Options.Service = ServiceName(Service);
  Options.Zone = ZoneName("a");
  Options.Region = RegionName("r");
  Options.Policies = policies();
  return Options;
}

/// \returns the gossip message with which a node announces itself.
GossipMessage announcement(const EngineOptions &Options) {
  GossipMessage Message;
  Message.Sender = Options.Self;
  Message.Deltas = {{.Process = Options.Self,
                     .Service = Options.Service,
                     .Zone = Options.Zone,
                     .Region = Options.Region}};
  return Message;
}

} // namespace

int main() {
  ManualClock Time(Instant::fromMillis(1780000000000));
  SeededRandom Source(1);
  const EngineOptions IngressOptions = options(7000, "");
  const EngineOptions ServerOptions = options(7001, "catalogue");
  PrintingActions IngressOut("ingress");
  PrintingActions ServerOut("server");
  NodeEngine Ingress(IngressOptions, IngressOut, Time, Source);
  NodeEngine Server(ServerOptions, ServerOut, Time, Source);
  Ingress.onStarted();
  Server.onStarted();
  Ingress.onDatagram(ServerOptions.Self.Address, announcement(ServerOptions));

  RequestInfo Info;
  Info.Service = ServiceName("catalogue");
  Info.Operation = OperationName("browse");
  Info.Caller = CallerName("cooperative");
  Ingress.onRequest(RequestId{1}, Info);
  Time.advance(Duration::millis(1));
  Server.onCall(RequestId{1}, IngressOut.LastContext);
  Time.advance(Duration::millis(5));
  Server.onRunDone(ServerOut.LastRun, {.Verdict = Verdict::Ran});
  Time.advance(Duration::millis(1));
  Ingress.onCallDone(IngressOut.LastCall,
                     {.Verdict = ServerOut.LastAnswer.Verdict});

  // A late or repeated completion has no effect.
  Ingress.onCallDone(IngressOut.LastCall, {.Verdict = Verdict::MayHaveRun});
  return 0;
}
