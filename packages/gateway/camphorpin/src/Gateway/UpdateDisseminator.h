#ifndef CAMPHORPIN_SRC_GATEWAY_UPDATEDISSEMINATOR_H
#define CAMPHORPIN_SRC_GATEWAY_UPDATEDISSEMINATOR_H

#include "camphorpin/src/Gateway/DisseminationTopology.h"
#include "camphorpin/src/Gateway/PeerMessages.h"

#include <map>
#include <optional>
#include <string>

namespace camphorpin {

/// \class DisseminatorContext
/// \brief What a UpdateDisseminator asks of its node.
class DisseminatorContext {
public:
  virtual ~DisseminatorContext() = default;

  /// \returns what this node knows.
  virtual PeerNotice known() const = 0;
  virtual const NodeDirectory &directory() const = 0;
  /// \returns false if connections to \p Node fail.
  virtual bool reachable(const std::string &Node) const = 0;

  /// Sends to \p Node, after connecting if need be.
  virtual void send(const std::string &Node, const PeerFrame &Frame) = 0;
  /// Sends to \p Node on the connection that it has opened, if there is one.
  virtual void sendToInboundPeer(const std::string &Node,
                                 const PeerFrame &Frame) = 0;
  /// Sends to one of the nodes that have connected to this one.
  virtual void sendToAnyInboundPeer(const PeerFrame &Frame) = 0;
  /// Asks for a call of UpdateDisseminator::onTimer() after \p Span. A later
  /// request replaces an earlier one.
  virtual void scheduleWakeup(Duration Span) = 0;
};

/// \class UpdateDisseminator
/// \brief Spreads what is read from the platform's store among the nodes.
///
/// A few nodes of each availability zone read the store
/// (DisseminationTopology). A node that learns something tells its followers at
/// once, and those who read the store tell each other, so that one whose open
/// read has gone silent without an error, or whom the store turns away, learns
/// it as well. Who is told of something that it lacks asks for it. A node that
/// is not current, because neither the store nor those whom it follows answer,
/// asks random nodes.
class UpdateDisseminator {
public:
  /// How often tick() is to be called: a node polls those whom it follows.
  static constexpr Duration PollInterval = Duration::millis(500);

  /// \param Self and \p Zone the name of this node and its availability zone.
  UpdateDisseminator(const Clock &Time, Random &Source,
                     DisseminatorContext &Actions, std::string Self,
                     std::string Zone);

  /// The store answers this node, or not.
  void onStoreReachability(bool Answers);

  /// This node has learned something that it did not know.
  void onStateChanged();

  /// The member directory was read for the first time.
  void onInitialMembers() { poll(); }

  /// A peer has told what it knows.
  void onNotice(const std::string &Node, const PeerNotice &Notice);

  /// A peer follows this node.
  PeerPollAnswer onPoll(const std::string &Node, const PeerNotice &Notice);

  void onPollAnswer(const std::string &Node, const PeerPollAnswer &Answer);

  void onTimer();

  /// Periodic work, every PollInterval.
  void tick();

  /// \returns true if this node is to read the store itself.
  bool shouldReadStore() const { return Topology.shouldReadStore(Time.now()); }

  /// \returns true if a failed read of the store should soon be repeated:
  /// nobody else does it for this node.
  bool isDesignatedReader() const { return Topology.followed().empty(); }

  /// \returns true if what this node knows is current: the store answers it, or
  /// it follows a node for which that holds.
  bool current() const;

  /// \returns the number of nodes that read the store if all is well.
  std::size_t readers() const { return Topology.readers().size(); }

  /// \returns a request for all that this node lacks.
  PeerNewsRequest request() const;

private:
  /// What a peer has told and this node lacks.
  struct PendingRequest {
    std::string From;
    PeerNotice Notice;
    Instant Due;
  };

  /// \returns true if neither the store nor a followed node answers.
  bool isolated() const;
  void poll();
  void scheduleConfigurationRequest(const std::string &Node,
                                    const PeerNotice &Notice);
  void scheduleMembersRequest(const std::string &Node,
                              const PeerNotice &Notice);
  /// \returns how long to wait for the own sources before \p Node is asked for
  /// its members, or nothing if it is not to be asked.
  std::optional<Duration> membersRequestDelay(const std::string &Node) const;
  bool isReader(const std::string &Node) const;
  PeerNewsRequest configurationRequest() const;
  void sendDueRequests(Instant Now);
  void announce(Instant Now);
  void requestFromRandomPeer();
  void scheduleTimer();

  const Clock &Time;
  Random &Source;
  DisseminatorContext &Actions;
  std::string Self;
  DisseminationTopology Topology;
  bool StoreAnswers = false;
  /// When nodes have polled this one.
  std::map<std::string, Instant, std::less<>> Followers;
  std::optional<PendingRequest> Configuration;
  std::optional<PendingRequest> Members;
  Instant LastConfigurationRequest;
  std::optional<Instant> FollowerNotifyDue;
  std::optional<Instant> ReaderNotifyDue;
};

} // namespace camphorpin

#endif
