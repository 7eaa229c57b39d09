#ifndef CAMPHORPIN_SRC_GATEWAY_PEERSERVER_H
#define CAMPHORPIN_SRC_GATEWAY_PEERSERVER_H

#include "camphorpin/src/Gateway/BackendProxy.h"
#include "camphorpin/src/Gateway/PeerChannel.h"

#include <cstdint>
#include <limits>
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
  virtual void onDepartures(const DepartureNotice &Notice) = 0;
  /// \returns the frames that follow the hello on a new connection with
  /// \p Node, before any call.
  virtual std::vector<PeerFrame> greeting(const std::string &Node) = 0;
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
///
/// Any client can connect to the address, so the bytes, connections and calls
/// that it can make this node hold are limited.
class PeerServer {
public:
  PeerServer(EventLoop &Loop, const Clock &Time, BackendProxy &Proxy,
             PeerServerListener &Listener);
  ~PeerServer();

  /// Bounds the open connections. There is no bound by default.
  void setMaxConnections(std::size_t Value) { MaxConnections = Value; }

  /// Bounds the bytes of frames that have been received in part or are not sent
  /// yet, over all connections. There is no bound by default.
  void setByteBudget(std::shared_ptr<ByteBudget> Value) {
    FrameBudget = std::move(Value);
  }

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
  /// A large call whose body is being received. It does not run yet.
  struct Upload {
    PeerCall Call;
    SharedBody Body;
    std::uint64_t TotalBytes = 0;
    /// End of the range that the caller was asked for.
    std::uint64_t AskedBytes = 0;
    Instant Started;
    Instant LastPart;
  };
  /// A call that is being received or runs, or whose answer is retained.
  struct Record {
    std::weak_ptr<Session> Caller;
    std::uint64_t RunId = 0;
    std::unique_ptr<Upload> Receiving;
    bool Idempotent = false;
    /// The answer to an ended call whose caller may not have received it.
    std::optional<PeerAnswer> RetainedAnswer;
    /// The bytes of RetainedAnswer.
    std::unique_ptr<BudgetShare> Held;
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
  /// Closes a connection that has no running call, to make room for another.
  /// \returns false if there is none.
  bool closeIdle();
  /// Closes connections whose peer has not sent its hello in time.
  void closeUngreeted();
  /// Finds the record of a call, or adds one.
  /// \returns null if the call is known, or can't be recorded.
  Record *addRecord(const std::shared_ptr<Session> &Caller,
                    const PeerCall &Call);
  /// Removes the record of a call.
  void forget(const CallKey &Key);
  std::map<CallKey, Record>::iterator
  forget(std::map<CallKey, Record>::iterator Position);
  void onCall(const std::shared_ptr<Session> &Caller, PeerCall Call);
  void onLargeCall(const std::shared_ptr<Session> &Caller, PeerLargeCall Large);
  void onBodyPart(const std::shared_ptr<Session> &Caller,
                  const PeerBodyPart &Part);
  /// Asks the caller for the next range of a body.
  static void askForBody(std::uint64_t Id, Record &Item);
  void submit(const CallKey &Key, PeerCall Call);
  /// Answers a call that has not been submitted.
  void refuse(const CallKey &Key, RefusalReason Reason);
  /// Refuses calls whose body does not arrive.
  void refuseStalledUploads();
  void onAnswer(const CallKey &Key, PeerAnswer Answer);
  void onCancel(const CallKey &Key);
  void onSessionClosed(const std::shared_ptr<Session> &Caller);
  /// Cancels idempotent calls whose caller has not reconnected in time.
  void cancelDetached();

  const Clock &Time;
  BackendProxy &Proxy;
  PeerServerListener &Listener;
  std::shared_ptr<ByteBudget> FrameBudget;
  std::size_t MaxConnections = std::numeric_limits<std::size_t>::max();
  detail::AcceptLoop Acceptor;
  boost::asio::steady_timer DetachTimer;
  std::set<std::shared_ptr<Session>> Sessions;
  std::map<CallKey, Record> Calls;
  /// Entries of Calls for each sender.
  std::map<Sender, std::size_t> CallCounts;
};

} // namespace camphorpin

#endif
