#ifndef CAMPHORPIN_SRC_GATEWAY_UPDATEDISSEMINATOR_H
#define CAMPHORPIN_SRC_GATEWAY_UPDATEDISSEMINATOR_H

#include "camphorpin/src/Gateway/DisseminationTopology.h"
#include "camphorpin/src/Gateway/PeerMessages.h"
#include "camphorpin/src/Gateway/StoreReadPacing.h"

#include <map>
#include <optional>
#include <string>

namespace camphorpin {

/// \class DisseminatorContext
/// \brief The services that an UpdateDisseminator needs from its node.
class DisseminatorContext {
public:
  virtual ~DisseminatorContext() = default;

  /// \returns the configuration version and the member digest of this node.
  virtual PeerDigest known() const = 0;
  virtual const NodeDirectory &directory() const = 0;
  /// \returns false if connections to \p Node fail.
  virtual bool reachable(const std::string &Node) const = 0;

  /// Sends to \p Node and connects to it first if necessary.
  virtual void send(const std::string &Node, const PeerFrame &Frame) = 0;
  /// Sends to \p Node on the connection opened by it, if there is one.
  virtual void sendToInboundPeer(const std::string &Node,
                                 const PeerFrame &Frame) = 0;
  /// Sends to one of the nodes that have connected to this one.
  virtual void sendToAnyInboundPeer(const PeerFrame &Frame) = 0;
  /// Schedules a call of UpdateDisseminator::onTimer() after \p Span. Replaces
  /// an earlier schedule.
  virtual void scheduleWakeup(Duration Span) = 0;
};

/// \class UpdateDisseminator
/// \brief Disseminates updates from the platform's store among the nodes.
///
/// A few nodes of each availability zone read the store
/// (DisseminationTopology). A node notifies its followers of an update at once.
/// The nodes that read the store also notify each other, so that a node still
/// gets the update if its long poll has stalled without an error or the store
/// rejects its calls. A node that lacks an update requests it from the sender
/// of the notice. A node whose state is not current, because neither the store
/// nor the nodes that it follows answer, sends requests to random nodes.
///
/// Members are the records of the node directory.
class UpdateDisseminator {
public:
  /// Interval between calls of tick(), which polls the followed nodes.
  static constexpr Duration PollInterval = Duration::millis(500);

  /// \param Self the name of this node.
  /// \param Zone its availability zone.
  UpdateDisseminator(const Clock &Time, Random &RandomSource,
                     DisseminatorContext &Context, std::string Self,
                     std::string Zone);

  /// The store has become reachable or unreachable for this node.
  void onStoreReachability(bool Reachable);

  /// An update has changed the configuration or the node directory of this
  /// node.
  void onStateChanged();

  /// The node directory has been read for the first time.
  void onInitialMembers() { poll(); }

  /// A peer has announced its state.
  void onNotice(const std::string &Node, const PeerDigest &Notice);

  /// Handles a poll of a node that follows this one.
  PeerPollAnswer onPoll(const std::string &Node, const PeerDigest &Notice);

  void onPollAnswer(const std::string &Node, const PeerPollAnswer &Answer);

  /// Sends \p Frame to the nodes that this one follows and to its followers,
  /// and, from a reader, to the other readers. If each node forwards what is
  /// new to it, all nodes receive it.
  void forward(const PeerFrame &Frame);

  void onTimer();

  /// Periodic work, every PollInterval.
  void tick();

  /// \returns true if this node should read the store itself.
  bool shouldReadStore() const { return Topology.shouldReadStore(Time.now()); }

  /// \returns the part of this node in reading the store.
  ReaderRole readerRole() const;

  /// \returns true if the state of this node is current: the store is
  /// reachable, or a followed node is current.
  bool current() const;

  /// \returns a request for all updates that this node lacks.
  PeerUpdateRequest request() const;

private:
  /// An update that a peer has announced and this node lacks.
  struct PendingRequest {
    std::string From;
    PeerDigest Notice;
    Instant Due;
  };

  /// \returns true if this node should read the store itself, but neither the
  /// store is reachable nor a followed node is current.
  bool isolated() const;
  /// Determines the nodes to follow and polls them.
  void poll();
  /// Polls the other readers, if this node is one, to find out in time which of
  /// them have stopped, and to exchange updates that one of them has missed.
  void pollReaders(Instant Now);
  void scheduleConfigurationRequest(const std::string &Node,
                                    const PeerDigest &Notice);
  void scheduleMembersRequest(const std::string &Node,
                              const PeerDigest &Notice);
  /// \returns the delay before members are requested from \p Node, in which
  /// this node may get them from the store or from the nodes that it follows;
  /// nothing if they should not be requested.
  std::optional<Duration> membersRequestDelay(const std::string &Node) const;
  bool isReader(const std::string &Node) const;
  PeerUpdateRequest configurationRequest() const;
  void sendDueRequests(Instant Now);
  /// Sends the notices that are due to followers and readers.
  void announce(Instant Now);
  void sendToFollowers(const PeerFrame &Frame);
  /// Sends to the readers that do not follow this node.
  void sendToOtherReaders(const PeerFrame &Frame);
  /// Requests updates from a random node, and from a node that has connected to
  /// this one.
  void requestFromRandomPeer();
  void scheduleTimer();

  const Clock &Time;
  Random &RandomSource;
  DisseminatorContext &Context;
  std::string Self;
  DisseminationTopology Topology;
  bool StoreReachable = false;
  /// Time of the last poll of each follower.
  std::map<std::string, Instant, std::less<>> Followers;
  std::optional<PendingRequest> Configuration;
  std::optional<PendingRequest> Members;
  Instant LastConfigurationRequest;
  std::optional<Instant> FollowerNotifyDue;
  std::optional<Instant> ReaderNotifyDue;
  /// When the other readers were last polled.
  Instant LastReaderPoll;
};

} // namespace camphorpin

#endif
