#ifndef CAMPHORPIN_SRC_DAEMON_RPCCHANNEL_H
#define CAMPHORPIN_SRC_DAEMON_RPCCHANNEL_H

#include "camphorpin/src/Daemon/RpcEnvironment.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <unordered_map>

namespace camphorpin::detail {

/// Turns off the delay of small segments.
void setNoDelay(kj::AsyncIoStream &Stream);

/// \class RpcChannel
/// \brief One TCP connection to another node and the calls outstanding on it.
class RpcChannel final : public kj::TaskSet::ErrorHandler {
public:
  RpcChannel(RpcEnvironment &Environment, kj::Own<kj::AsyncIoStream> Stream);
  ~RpcChannel();

  /// Agrees on the protocol version.
  /// \returns a promise that fails if no version is common.
  kj::Promise<void> hello();

  /// Sends a call. Its end is reported as CallDone, exactly once.
  void send(const SendCall &Command);

  /// Sends a message that may get lost.
  void send(const SendControl &Command);

  void cancel(CallId Call);

  /// Reports all outstanding calls as may-have-run. Late answers are dropped.
  void abandonCalls();

  /// \returns true once the connection has ended.
  bool ended() const { return Ended; }
  std::size_t callCount() const { return Outstanding.size(); }

  /// \returns the time since which outstanding calls have seen no progress.
  kj::TimePoint silentSince() const { return LastProgress; }

private:
  void finish(CallId Call, CallResult Result, SharedPayload Body);
  void receive(CallId Call, wire::Answer::Reader Source);
  void taskFailed(kj::Exception &&Error) override;

  RpcEnvironment &Environment;
  kj::Own<kj::AsyncIoStream> Stream;
  capnp::TwoPartyVatNetwork Network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> System;
  wire::Node::Client Peer;
  std::unordered_map<CallId, kj::TimePoint> Outstanding;
  kj::TimePoint LastProgress;
  bool Ended = false;
  /// Refers to the members above and so is destroyed first.
  kj::TaskSet Tasks;
};

} // namespace camphorpin::detail

#endif
