#ifndef CAMPHORPIN_SRC_GATEWAY_PEERSERVER_H
#define CAMPHORPIN_SRC_GATEWAY_PEERSERVER_H

#include "camphorpin/src/Gateway/BackendProxy.h"
#include "camphorpin/src/Gateway/PeerChannel.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace camphorpin {

/// \class PeerServerListener
/// \brief Handles the frames of peers that are not calls.
class PeerServerListener {
public:
  virtual ~PeerServerListener() = default;
  virtual PeerHello hello() = 0;
  virtual PeerDigest digest() const = 0;
  /// \returns a request for the state that this node lacks.
  virtual PeerUpdateRequest updateRequest() const = 0;
  /// The peer \p Node has sent the digest of its state.
  virtual void onDigest(const std::string &Node,
                        const PeerDigest &Received) = 0;
  virtual PeerUpdate makeUpdate(const PeerUpdateRequest &Request) = 0;
  /// The peer \p Node has sent updates.
  virtual void onUpdate(const std::string &Node, PeerUpdate Update) = 0;
  virtual PeerPollAnswer onPoll(const std::string &Node,
                                const PeerDigest &Received) = 0;
  virtual void onCrashes(const PeerCrashes &Crashes) = 0;
};

/// \class PeerServer
/// \brief Receives calls from other nodes for the local backend server.
///
/// Tracks each call by the sender's identity and the call's id, so that a call
/// that is sent again on a new connection is attached to its run.
///
/// A sender repeats its calls on a new connection only after it has received
/// this node's hello there. The earlier connections of a sender are therefore
/// closed when its hello arrives on a newer one: a copy of a call that a
/// partition has held up on an earlier connection is never read, however late
/// it arrives, and no record of ended calls is needed to recognise it.
class PeerServer {
public:
  PeerServer(EventLoop &Loop, const Clock &Time, BackendProxy &Proxy,
             PeerServerListener &Listener);
  ~PeerServer();

  /// \returns an empty string, or why the address can't be used.
  std::string listen(const HostAddress &Address);

  /// Sends the status of the backend server to all peers.
  void broadcastStatus();
  void broadcast(const PeerFrame &Frame);

  /// Sends \p Frame on the connections that \p Node has opened.
  void send(const std::string &Node, const PeerFrame &Frame);

  /// Sends \p Frame to a random connected peer.
  void sendToAny(const PeerFrame &Frame, Random &RandomSource);

  /// \returns true if a frame to a peer has not been sent in full.
  bool hasUnsentFrames() const;

  /// Does periodic work. Must be called at least once a second.
  void tick();

private:
  class Session;
  /// A process that sends calls. Nodes may start in the same millisecond and
  /// then have equal incarnations.
  struct Sender {
    std::string Node;
    std::uint64_t Incarnation = 0;
    auto operator<=>(const Sender &) const = default;
  };
  struct CallKey {
    Sender From;
    std::uint64_t Id = 0;
    auto operator<=>(const CallKey &) const = default;
  };
  /// A call that runs or whose answer is retained.
  struct Record {
    std::weak_ptr<Session> Caller;
    std::uint64_t RunId = 0;
    bool Idempotent = false;
    /// The answer to an ended call whose caller may not have received it.
    std::optional<PeerAnswer> RetainedAnswer;
    Instant RetainUntil;
    /// After this instant the caller doesn't repeat the call.
    Instant Deadline;
    /// When the caller's connection was lost, if the caller has not
    /// reconnected.
    std::optional<Instant> DetachedSince;
  };

  void onConnection(TcpSocket Socket);
  /// Closes the other connections of the sender of \p Greeted that are older.
  /// \returns false if \p Greeted is itself older than another one.
  bool replaceOlderSessions(const Session &Greeted);
  void onCall(const std::shared_ptr<Session> &Caller, PeerCall Call);
  void onAnswer(const CallKey &Key, PeerAnswer Answer);
  void onCancel(const CallKey &Key);
  void onSessionClosed(const std::shared_ptr<Session> &Caller);
  /// Cancels idempotent calls whose caller has not reconnected in time.
  void cancelDetached();

  const Clock &Time;
  BackendProxy &Proxy;
  PeerServerListener &Listener;
  detail::AcceptLoop Acceptor;
  boost::asio::steady_timer DetachTimer;
  std::set<std::shared_ptr<Session>> Sessions;
  std::map<CallKey, Record> Calls;
};

} // namespace camphorpin

#endif
