#ifndef CAMPHORPIN_SRC_GATEWAY_PEERCLIENT_H
#define CAMPHORPIN_SRC_GATEWAY_PEERCLIENT_H

#include "camphorpin/src/Gateway/PeerChannel.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace camphorpin {

/// \class PeerClientListener
/// \brief Receives what a link hears from its peer.
class PeerClientListener {
public:
  virtual ~PeerClientListener() = default;

  /// \returns the hello frame of this node.
  virtual PeerHello hello() = 0;
  /// The peer \p Node has told what it knows.
  virtual void onDigest(const std::string &Node,
                        const PeerDigest &Received) = 0;
  virtual PeerUpdate makeUpdate(const PeerUpdateRequest &Request) = 0;
  virtual void onUpdate(PeerUpdate Update) = 0;
  virtual PeerPollAnswer onPoll(const std::string &Node,
                                const PeerDigest &Received) = 0;
  virtual void onPollAnswer(const std::string &Node,
                            const PeerPollAnswer &Answer) = 0;
  virtual void onCrashes(const PeerCrashes &Crashes) = 0;
};

/// \class PeerClient
/// \brief Carries calls to the node beside one backend server.
///
/// A call is sent once per incarnation of the peer: when a connection is
/// replaced, calls without an answer are sent again under their ids, and the
/// peer attaches them to what already runs. So a lost connection makes no
/// non-idempotent call uncertain unless the peer has ended.
class PeerClient final : private PeerChannel::Listener {
public:
  using Reply = std::function<void(PeerAnswer)>;

  PeerClient(EventLoop &Loop, const Clock &Time, std::string Node,
             const HostAddress &Address, PeerClientListener &Owner);
  ~PeerClient() override;

  const HostAddress &address() const { return Address; }

  /// \returns false while connections to the peer fail.
  bool usable() const {
    return State != ConnectionState::Backoff && !ConnectingSlowly;
  }
  /// \returns true if the latest attempt to connect has failed and none has
  /// succeeded since: a call would wait for the next attempt.
  bool reconnecting() const {
    return State != ConnectionState::Open && Failures > 0;
  }
  bool connected() const { return State == ConnectionState::Open; }
  /// \returns what the peer said last about its gate.
  const BackendStatus &status() const { return Status; }
  bool statusKnown() const { return StatusKnown; }
  /// \returns how long ago the peer said it.
  Duration statusAge() const { return Time.now() - StatusTime; }
  std::size_t outstanding() const { return Calls.size(); }
  /// \returns when the link was last used.
  Instant lastUse() const { return LastUse; }

  /// Opens the connection if there is none. The hellos of both sides tell what
  /// each knows.
  void open();
  void call(PeerCall Call, Reply Done);
  /// The answer is no longer wanted.
  void cancel(std::uint64_t Id);
  /// Sends \p Frame if the link is open.
  void send(const PeerFrame &Frame);
  /// Sends \p Frame, or opens the link, whose hellos tell as much. A peer that
  /// doesn't answer is noticed as with a call.
  void poll(const PeerPoll &Frame);

private:
  enum class ConnectionState : std::uint8_t { Idle, Connecting, Open, Backoff };
  struct Pending {
    PeerCall Call;
    Reply Done;
    Instant Deadline;
    Instant Submitted;
    /// It was written to the peer with this incarnation; 0 if never written.
    std::uint64_t SentIncarnation = 0;
  };

  void onFrame(PeerFrame Frame) override;
  void onClosed() override;

  void connect();
  void onConnected(TcpSocket Socket);
  void onHello(const PeerHello &Hello);
  /// Another node answers at the peer's address.
  void onNodeMismatch();
  void onAnswer(PeerAnswer Answer);
  void updateStatus(const BackendStatus &Received);
  void writeCall(Pending &Item);
  void onConnectFailed();
  void failCalls(bool PeerEnded);
  void refuseUnsent(Duration MinAge);
  void onConnectingTimer();
  void onOpenTimer();
  void replaceUnresponsive();
  void startPingTimeout();
  void armTimer(Duration Span);
  void onTimer();

  EventLoop &Loop;
  const Clock &Time;
  std::string Node;
  HostAddress Address;
  PeerClientListener &Owner;
  ConnectionState State = ConnectionState::Idle;
  std::shared_ptr<PeerChannel> Channel;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  boost::asio::steady_timer Timer;
  BackendStatus Status;
  bool StatusKnown = false;
  Instant StatusTime;
  std::uint64_t Incarnation = 0;
  std::map<std::uint64_t, Pending> Calls;
  std::vector<std::uint64_t> PendingAcks;
  Instant LastReceived;
  Instant LastUse;
  Instant PingTime;
  bool PingOutstanding = false;
  Instant ConnectStarted;
  bool ConnectingSlowly = false;
  unsigned Failures = 0;
  std::uint64_t Attempt = 0;
};

} // namespace camphorpin

#endif
