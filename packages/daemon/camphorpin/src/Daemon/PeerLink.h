#ifndef CAMPHORPIN_SRC_DAEMON_PEERLINK_H
#define CAMPHORPIN_SRC_DAEMON_PEERLINK_H

#include "camphorpin/src/Daemon/RpcChannel.h"

#include <deque>

namespace camphorpin::detail {

/// \class PeerLink
/// \brief The way to one other node: at most one connection in use, opened when
/// it is needed and replaced when it goes silent.
class PeerLink {
public:
  PeerLink(RpcEnvironment &Environment, HostAddress Address)
      : Environment(Environment), Address(Address) {}

  /// Sends a call now or when the connection is open. Its end is reported as
  /// CallDone, exactly once; not-run if it could not be sent.
  void send(SendCall &&Command);

  void cancel(CallId Call);

  /// Sends a message that may get lost.
  void send(SendControl &&Command);

  /// Compares the connection with a new one if it has calls outstanding and
  /// made no progress for the connection silence bound.
  void checkSilence();

  /// \returns true if the link holds nothing and can be dropped.
  bool idle() const;

private:
  static constexpr std::size_t MaxWaiting = 4096;
  static constexpr std::size_t MaxWaitingControls = 256;

  bool usable() const { return Channel.get() != nullptr && !Channel->ended(); }
  kj::Promise<kj::Own<RpcChannel>> connect();
  void open();
  void wantOpen();
  void opened(kj::Own<RpcChannel> Fresh);
  void failWaiting(RefusalReason Reason);
  void compare(kj::Own<RpcChannel> Fresh, kj::TimePoint Begin);
  void startComparison();

  RpcEnvironment &Environment;
  HostAddress Address;
  kj::Own<RpcChannel> Channel;
  std::deque<SendCall> Waiting;
  std::deque<SendControl> WaitingControls;
  bool Opening = false;
  bool Comparing = false;
};

} // namespace camphorpin::detail

#endif
