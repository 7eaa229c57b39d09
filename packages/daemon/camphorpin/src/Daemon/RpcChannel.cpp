#include "camphorpin/src/Daemon/RpcChannel.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <utility>

namespace camphorpin::detail {

namespace {

wire::Node::Client
bootstrap(capnp::RpcSystem<capnp::rpc::twoparty::VatId> &System) {
  capnp::MallocMessageBuilder Message(4);
  capnp::rpc::twoparty::VatId::Builder Server =
      Message.getRoot<capnp::rpc::twoparty::VatId>();
  Server.setSide(capnp::rpc::twoparty::Side::SERVER);
  return System.bootstrap(Server).castAs<wire::Node>();
}

} // namespace

void setNoDelay(kj::AsyncIoStream &Stream) {
  const int On = 1;
  Stream.setsockopt(IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

RpcChannel::RpcChannel(RpcEnvironment &Environment,
                       kj::Own<kj::AsyncIoStream> Stream)
    : Environment(Environment), Stream(kj::mv(Stream)),
      Network(*this->Stream, capnp::rpc::twoparty::Side::CLIENT,
              Environment.readerOptions()),
      System(capnp::makeRpcClient(Network)), Peer(bootstrap(System)),
      LastProgress(Environment.now()), Tasks(*this) {
  setNoDelay(*this->Stream);
  Tasks.add(Network.onDisconnect().then([this] { Ended = true; }));
}

RpcChannel::~RpcChannel() { abandonCalls(); }

kj::Promise<void> RpcChannel::hello() {
  capnp::Request<wire::Node::HelloParams, wire::Node::HelloResults> Request =
      Peer.helloRequest();
  Request.setNewest(NewestProtocolVersion);
  Request.setOldest(OldestProtocolVersion);
  Environment.fillIdentity(Request.initIdentity());
  return Request.send().then(
      [this](capnp::Response<wire::Node::HelloResults> &&Reply) {
        if (Reply.getVersion() < OldestProtocolVersion ||
            Reply.getVersion() > NewestProtocolVersion) {
          Environment.Log.write(
              LogEvent::VersionMismatch,
              {{"peer", readProcess(Reply.getIdentity().getProcess())
                            .Address.toString()}});
          kj::throwFatalException(
              KJ_EXCEPTION(FAILED, "no common protocol version"));
        }
        LastProgress = Environment.now();
      });
}

void RpcChannel::send(const SendCall &Command) {
  const CallId Call = Command.Call;
  capnp::Request<wire::Node::CallParams, wire::Node::CallResults> Request =
      Peer.callRequest();
  Request.setCallId(static_cast<std::uint64_t>(Call));
  writeContext(Request.initContext(), Command.Context);
  writePayload(Request.initPayload(), *Command.Body);
  if (Outstanding.empty())
    LastProgress = Environment.now();
  Outstanding.emplace(Call, Environment.now());
  Tasks.add(Request.send().then(
      [this, Call](capnp::Response<wire::Node::CallResults> &&Reply) {
        LastProgress = Environment.now();
        receive(Call, Reply.getAnswer());
      },
      [this, Call](kj::Exception && /*Error*/) {
        finish(Call, {.Reason = RefusalReason::PeerFailed}, nullptr);
      }));
}

void RpcChannel::send(const SendControl &Command) {
  capnp::Request<wire::Node::ControlParams, wire::Node::ControlResults>
      Request = Peer.controlRequest();
  wire::Control::Builder Message = Request.initMessage();
  writeProcess(Message.initFrom(), Environment.Options.Self);
  if (const AddressedClaim *Claim =
          std::get_if<AddressedClaim>(&Command.Message))
    writeClaim(Message.initClaim(), Claim->To, Claim->Message);
  else
    writeConfiguration(Message.initConfiguration(),
                       std::get<ConfigurationMessage>(Command.Message));
  Tasks.add(Request.send().ignoreResult().catch_([](kj::Exception &&) {}));
}

void RpcChannel::cancel(CallId Call) {
  capnp::Request<wire::Node::CancelParams, wire::Node::CancelResults> Request =
      Peer.cancelRequest();
  Request.setCallId(static_cast<std::uint64_t>(Call));
  Tasks.add(Request.send().ignoreResult().catch_([](kj::Exception &&) {}));
}

void RpcChannel::abandonCalls() {
  while (!Outstanding.empty())
    finish(Outstanding.begin()->first, {.Reason = RefusalReason::PeerFailed},
           nullptr);
}

void RpcChannel::receive(CallId Call, wire::Answer::Reader Source) {
  const std::optional<Verdict> Value = verdictFromCode(Source.getVerdict());
  const std::optional<RefusalReason> Reason =
      reasonFromCode(Source.getReason());
  std::optional<Payload> Body;
  if (Source.hasPayload())
    Body = readResponse(Source.getPayload());
  const bool IsBodyMalformed =
      Source.hasPayload() &&
      (!Body || Body->Body.size() > Environment.Options.MaxBody);
  if (!Value || !Reason || IsBodyMalformed ||
      Source.getLowestAccepted() >= MaxRanks) {
    finish(Call, {.Reason = RefusalReason::PeerFailed}, nullptr);
    return;
  }
  CallResult Result{.Verdict = *Value,
                    .Reason = *Reason,
                    .UnusedAttempts = Source.getUnusedAttempts(),
                    .LowestAccepted = Rank(Source.getLowestAccepted()),
                    .Leaving = Source.getLeaving(),
                    .DownstreamRefused = Source.getDownstreamRefused()};
  SharedPayload Shared;
  if (Body)
    Shared = std::make_shared<const Payload>(*std::move(Body));
  finish(Call, Result, std::move(Shared));
}

void RpcChannel::finish(CallId Call, CallResult Result, SharedPayload Body) {
  if (Outstanding.erase(Call) == 0)
    return;
  Environment.Events.complete(CallDone{Call, Result, std::move(Body)});
}

void RpcChannel::taskFailed(kj::Exception && /*Error*/) {
  // The connection ended; the calls report their own ends.
  Ended = true;
}

} // namespace camphorpin::detail
