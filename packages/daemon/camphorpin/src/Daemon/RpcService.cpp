#include "camphorpin/src/Daemon/RpcService.h"

#include <utility>

namespace camphorpin::detail {

namespace {

/// \class RpcSink
/// \brief Hands an answer to the RPC thread.
class RpcSink final : public AnswerSink {
public:
  RpcSink(RpcThread &Thread, RequestId Id) : Thread(Thread), Id(Id) {}

  void deliver(const Answer &Value, const SharedPayload &Body) override {
    Thread.post(DeliverAnswer{Id, Value, Body});
  }

private:
  RpcThread &Thread;
  RequestId Id;
};

void writeAnswer(wire::Answer::Builder Target, const DeliverAnswer &Source) {
  Target.setVerdict(static_cast<std::uint8_t>(Source.Value.Verdict));
  Target.setReason(static_cast<std::uint8_t>(Source.Value.Reason));
  Target.setUnusedAttempts(Source.Value.UnusedAttempts);
  Target.setLowestAccepted(Source.Value.LowestAccepted.index());
  Target.setLeaving(Source.Value.Leaving);
  Target.setDownstreamRefused(Source.Value.DownstreamRefused);
  if (Source.Body)
    writePayload(Target.initPayload(), *Source.Body);
}

/// \returns the refusal of a call that did not reach the decision thread.
DeliverAnswer refuseCall(const RequestContext &Context) {
  const bool KnownNotRun = Context.Idempotent || Context.FirstSend;
  DeliverAnswer Result;
  Result.Value.Verdict = KnownNotRun ? Verdict::NotRun : Verdict::MayHaveRun;
  Result.Value.Reason = RefusalReason::NodeBusy;
  return Result;
}

} // namespace

kj::Promise<DeliverAnswer> AnswerTable::expect(RequestId Id) {
  kj::PromiseFulfillerPair<DeliverAnswer> Pair =
      kj::newPromiseAndFulfiller<DeliverAnswer>();
  Waiting.emplace(Id, kj::mv(Pair.fulfiller));
  return kj::mv(Pair.promise);
}

void AnswerTable::deliver(DeliverAnswer &&Value) {
  const auto Found = Waiting.find(Value.Id);
  if (Found == Waiting.end())
    return;
  kj::Own<kj::PromiseFulfiller<DeliverAnswer>> Fulfiller =
      kj::mv(Found->second);
  Waiting.erase(Found);
  Fulfiller->fulfill(kj::mv(Value));
}

kj::Promise<void> RpcService::hello(HelloContext Context) {
  const wire::Node::HelloParams::Reader Params = Context.getParams();
  Version = negotiateVersion(Params.getNewest(), Params.getOldest());
  PeerName = readProcess(Params.getIdentity().getProcess()).Address.toString();
  if (Version == 0)
    Environment.Log.write(LogEvent::VersionMismatch, {{"peer", PeerName}});
  Activity->Greeted = Version != 0;
  wire::Node::HelloResults::Builder Results = Context.getResults();
  Results.setVersion(Version);
  Environment.fillIdentity(Results.initIdentity());
  return kj::READY_NOW;
}

kj::Promise<void> RpcService::call(CallContext Context) {
  KJ_REQUIRE(Version != 0, "no protocol version was agreed on");
  const wire::Node::CallParams::Reader Params = Context.getParams();
  const std::optional<RequestContext> Request =
      readContext(Params.getContext());
  std::optional<Payload> Body = readPayload(Params.getPayload());
  if (!Request || !Body || Body->Body.size() > Environment.Options.MaxBody) {
    Environment.Log.write(LogEvent::MessageRejected,
                          {{"peer", PeerName}, {"kind", "call"}});
    DeliverAnswer Refused;
    Refused.Value.Reason = RefusalReason::BadRequest;
    writeAnswer(Context.getResults().initAnswer(), Refused);
    return kj::READY_NOW;
  }
  const RequestId Id = Environment.Events.nextRequest();
  CallArrived Event{Id, *Request,
                    std::make_shared<const Payload>(*std::move(Body)),
                    std::make_shared<RpcSink>(Thread, Id)};
  kj::Promise<DeliverAnswer> Expected = Answers.expect(Id);
  if (!Environment.Events.offer(std::move(Event))) {
    DeliverAnswer Refused = refuseCall(*Request);
    Refused.Id = Id;
    Answers.deliver(std::move(Refused));
  }
  const std::uint64_t CallNumber = Params.getCallId();
  Running[CallNumber] = Id;
  Activity->Calls = Running.size();
  Context.releaseParams();
  return Expected.then(
      [this, CallNumber, Context](DeliverAnswer &&Done) mutable {
        Running.erase(CallNumber);
        Activity->Calls = Running.size();
        writeAnswer(Context.getResults().initAnswer(), Done);
      });
}

kj::Promise<void> RpcService::cancel(CancelContext Context) {
  const auto Found = Running.find(Context.getParams().getCallId());
  if (Found != Running.end())
    Environment.Events.offer(RequestCancelled{Found->second});
  return kj::READY_NOW;
}

kj::Promise<void> RpcService::control(ControlContext Context) {
  KJ_REQUIRE(Version != 0, "no protocol version was agreed on");
  const wire::Control::Reader Message = Context.getParams().getMessage();
  wire::Control::Builder Reply = Context.getResults().initReply();
  writeProcess(Reply.initFrom(), Environment.Options.Self);
  bool Known = Message.isProbe();
  if (Message.isClaim()) {
    std::optional<AddressedClaim> Claim = readClaim(Message.getClaim());
    Known = Claim.has_value();
    // A busy node drops it; its sender repeats it.
    if (Claim)
      Environment.Events.offer(ClaimArrived{*std::move(Claim)});
  }
  if (Message.isConfiguration()) {
    std::optional<ConfigurationMessage> Value =
        readConfiguration(Message.getConfiguration());
    Known = Value.has_value();
    if (Value)
      Environment.Events.offer(ConfigurationArrived{
          readProcess(Message.getFrom()).Address, *std::move(Value)});
  }
  if (Known)
    Reply.setAlive();
  else
    Reply.setUnsupported();
  return kj::READY_NOW;
}

} // namespace camphorpin::detail
