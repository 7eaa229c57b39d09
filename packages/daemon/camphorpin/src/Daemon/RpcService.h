#ifndef CAMPHORPIN_SRC_DAEMON_RPCSERVICE_H
#define CAMPHORPIN_SRC_DAEMON_RPCSERVICE_H

#include "camphorpin/src/Daemon/RpcEnvironment.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace camphorpin::detail {

/// \class AnswerTable
/// \brief The calls of other nodes that wait for their answers.
class AnswerTable {
public:
  /// \returns a promise for the answer to the call \p Id.
  kj::Promise<DeliverAnswer> expect(RequestId Id);

  /// Delivers the answer. It is dropped if the caller has gone.
  void deliver(DeliverAnswer &&Value);

private:
  std::unordered_map<RequestId, kj::Own<kj::PromiseFulfiller<DeliverAnswer>>>
      Waiting;
};

/// \class PeerActivity
/// \brief What the node on the other side of a connection does.
struct PeerActivity {
  /// It has said which node it is, and a protocol version was agreed on.
  bool Greeted = false;
  /// Its calls that have no answer.
  std::size_t Calls = 0;
};

/// \class RpcService
/// \brief What another node may ask over one connection.
class RpcService final : public wire::Node::Server {
public:
  RpcService(RpcEnvironment &Environment, AnswerTable &Answers,
             RpcThread &Thread)
      : Environment(Environment), Answers(Answers), Thread(Thread) {}

  /// \returns what the node on the other side does, which outlives the service.
  std::shared_ptr<const PeerActivity> activity() const { return Activity; }

  kj::Promise<void> hello(HelloContext Context) override;
  kj::Promise<void> call(CallContext Context) override;
  kj::Promise<void> cancel(CancelContext Context) override;
  kj::Promise<void> control(ControlContext Context) override;

private:
  RpcEnvironment &Environment;
  AnswerTable &Answers;
  RpcThread &Thread;
  /// Zero until the two sides have agreed on a version.
  std::uint16_t Version = 0;
  std::string PeerName;
  std::unordered_map<std::uint64_t, RequestId> Running;
  std::shared_ptr<PeerActivity> Activity = std::make_shared<PeerActivity>();
};

} // namespace camphorpin::detail

#endif
