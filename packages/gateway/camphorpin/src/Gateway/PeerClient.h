#ifndef CAMPHORPIN_SRC_GATEWAY_PEERCLIENT_H
#define CAMPHORPIN_SRC_GATEWAY_PEERCLIENT_H

#include "camphorpin/src/Gateway/PeerChannel.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace camphorpin {

/// \class PeerClientListener
/// \brief Handles the frames that a peer sends on a PeerClient connection,
/// except answers to calls.
class PeerClientListener {
public:
  virtual ~PeerClientListener() = default;

  /// \returns the hello frame of this node.
  virtual PeerHello hello() = 0;
  /// The peer \p Node has sent the digest of its state.
  virtual void onDigest(const std::string &Node,
                        const PeerDigest &Received) = 0;
  virtual PeerUpdate makeUpdate(const PeerUpdateRequest &Request) = 0;
  /// The peer \p Node has sent updates.
  virtual void onUpdate(const std::string &Node, PeerUpdate Update) = 0;
  virtual PeerPollAnswer onPoll(const std::string &Node,
                                const PeerDigest &Received) = 0;
  virtual void onPollAnswer(const std::string &Node,
                            const PeerPollAnswer &Answer) = 0;
  virtual void onCrashes(const PeerCrashes &Crashes) = 0;
  virtual void onDepartures(const DepartureNotice &Notice) = 0;
  /// \returns the frames that follow the hello on a new connection with
  /// \p Node, before any call.
  virtual std::vector<PeerFrame> greeting(const std::string &Node) = 0;
};

/// \class PeerClient
/// \brief Client connection that carries calls to the node beside one backend
/// server.
///
/// A call runs at most once per incarnation of the peer: when a connection is
/// replaced, calls without an answer are sent again under their ids, and the
/// peer attaches them to the requests that already run. A lost connection
/// therefore leaves the outcome of a non-idempotent call unknown only if the
/// peer process has ended.
class PeerClient final : private PeerChannel::Listener {
public:
  using AnswerCallback = std::function<void(PeerAnswer)>;

  PeerClient(EventLoop &Loop, const Clock &Time, std::string Node,
             const HostAddress &Address, PeerClientListener &Listener);
  ~PeerClient() override;

  const HostAddress &address() const { return Address; }

  /// \returns false while connecting to the peer fails or is slow.
  bool usable() const {
    return State != ConnectionState::Backoff && !ConnectingSlowly;
  }
  /// \returns true if the latest attempt to connect has failed and none has
  /// succeeded since: a call would wait for the next attempt.
  bool reconnecting() const {
    return State != ConnectionState::Open && Failures > 0;
  }
  bool connected() const { return State == ConnectionState::Open; }
  /// \returns the latest status of the backend server that the peer reported.
  const BackendStatus &status() const { return Status; }
  bool statusKnown() const { return StatusKnown; }
  /// \returns the time since the peer reported its status.
  Duration statusAge() const { return Time.now() - StatusTime; }
  std::size_t outstanding() const { return Calls.size(); }
  /// \returns the number of bytes that the connection has not taken yet.
  std::size_t unsent() const { return Channel ? Channel->unsent() : 0; }
  /// \returns the time of the last call or poll.
  Instant lastUse() const { return LastUse; }

  /// Opens the connection if there is none. The hello frames of both sides
  /// carry their digests.
  void open();
  void call(PeerCall Call, AnswerCallback Done);
  /// Cancels a call whose answer is no longer needed.
  void cancel(std::uint64_t Id);
  /// Sends \p Frame if the connection is open.
  void send(const PeerFrame &Frame);
  /// Sends \p Frame, or opens the connection, whose hello frames carry the same
  /// digests. A peer that doesn't answer is detected by the ping timeout.
  void poll(const PeerPoll &Frame);

private:
  enum class ConnectionState : std::uint8_t { Idle, Connecting, Open, Backoff };
  struct Pending {
    PeerCall Call;
    AnswerCallback Done;
    Instant Deadline;
    Instant Submitted;
    /// Incarnation of the peer to which the call was sent; 0 if not sent yet.
    std::uint64_t SentIncarnation = 0;
  };
  /// A part of the body of the call \p Id that the peer has asked for.
  struct BodyRange {
    std::uint64_t Id = 0;
    std::uint64_t From = 0;
    std::uint64_t UpTo = 0;
  };

  void onFrame(PeerFrame Frame) override;
  void onWritten() override { sendParts(); }
  void onClosed() override;

  void connect();
  void onConnected(TcpSocket Socket);
  void onHello(const PeerHello &Hello);
  /// Handles a hello from another node at the peer's address.
  void onNodeMismatch();
  void onAnswer(PeerAnswer Answer);
  void updateStatus(const BackendStatus &Received);
  void writeCall(Pending &Item);
  void onBodyRequest(const PeerBodyRequest &Request);
  /// Sends parts of the bodies that the peer has asked for, in turns, as long
  /// as few bytes are unsent. A body and its encoded parts take memory twice.
  void sendParts();
  /// Sends the first part of \p Range and removes it from the range.
  /// \returns false if nothing is left to send.
  bool sendPart(BodyRange &Range);
  void onConnectFailed();
  /// Fails the calls whose outcome is no longer expected. If the peer process
  /// has ended, these are the calls that were sent to it; otherwise those that
  /// were not sent and the idempotent ones, which may run again elsewhere.
  void failCalls(bool PeerEnded);
  /// Refuses the calls that have waited for a connection for \p MinAge.
  void refuseUnsent(Duration MinAge);
  void onConnectingTimer();
  void onOpenTimer();
  /// Replaces a connection on which no frame has arrived within the timeout.
  void replaceUnresponsive();
  /// Starts the timeout for the next frame from the peer.
  void startFrameTimeout();
  void armTimer(Duration Span);
  void onTimer();

  EventLoop &Loop;
  const Clock &Time;
  std::string Node;
  HostAddress Address;
  PeerClientListener &Listener;
  ConnectionState State = ConnectionState::Idle;
  std::shared_ptr<PeerChannel> Channel;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  boost::asio::steady_timer Timer;
  BackendStatus Status;
  bool StatusKnown = false;
  Instant StatusTime;
  std::uint64_t Incarnation = 0;
  std::map<std::uint64_t, Pending> Calls;
  std::deque<BodyRange> Ranges;
  /// Answered non-idempotent calls that the peer may forget.
  std::vector<std::uint64_t> PendingAcks;
  Instant LastReceived;
  Instant LastUse;
  Instant AwaitingSince;
  /// A ping or poll was sent, and no frame has arrived since.
  bool AwaitingFrame = false;
  Instant ConnectStarted;
  bool ConnectingSlowly = false;
  unsigned Failures = 0;
  /// The latest attempt to connect. Completions of earlier ones are ignored.
  std::uint64_t ConnectAttemptId = 0;
};

} // namespace camphorpin

#endif
