#ifndef CAMPHORPIN_SRC_GATEWAY_PEERNETWORK_H
#define CAMPHORPIN_SRC_GATEWAY_PEERNETWORK_H

#include "camphorpin/src/Gateway/FleetConfiguration.h"
#include "camphorpin/src/Gateway/GateLink.h"
#include "camphorpin/src/Gateway/LocalGate.h"
#include "camphorpin/src/Gateway/NodeDirectory.h"
#include "camphorpin/src/Gateway/PeerSelector.h"

#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace camphorpin {

/// \class PeerNetwork
/// \brief The gates of the fleet as this node sees them, and the links to them.
class PeerNetwork {
public:
  PeerNetwork(EventLoop &Loop, const Clock &Time, Random &Source,
              const GatewaySettings &Settings, LocalGate &Gate,
              GateLinkListener &Owner);

  const NodeDirectory &directory() const { return Directory; }

  /// Adds a record, and follows it with the link if there is one.
  /// \returns true if the record is new.
  bool add(const NodeRecord &Record);

  /// \param Tried nodes that must not be chosen.
  /// \returns the node whose gate the request should go to, or an empty text.
  std::string choose(std::string_view Service, const RouteRule &Route,
                     std::span<const std::string> Tried);

  /// The gate of \p Node has answered a call.
  /// \param Bytes the size of the call.
  void learn(const std::string &Node, const std::string &Route,
             std::size_t Bytes, const PeerAnswer &Answer);

  /// Sends a call to the gate of \p Node.
  void call(const std::string &Node, PeerCall Call, LocalGate::Reply Done);
  void cancel(const std::string &Node, std::uint64_t Id);

  /// Sends \p Frame to all nodes to which this node has a connection.
  void broadcast(const PeerFrame &Frame);

  /// Sends \p Frame to \p Node if there is a connection; otherwise opens one,
  /// whose hellos tell what each side knows.
  void send(const std::string &Node, const PeerFrame &Frame);

  /// \returns false if connections to \p Node fail.
  bool reachable(const std::string &Node) const;

  /// Closes connections that have not been used for long. Periodic work.
  void tick();

  /// \returns the number of nodes that share the fleet's budgets.
  std::size_t nodes() const {
    return std::max<std::size_t>(1, Directory.presentCount());
  }

  /// \returns the number of gates to which a connection is open.
  std::size_t connected() const;

private:
  GateLink &link(const NodeRecord &Record);
  PeerCandidate candidate(const NodeRecord &Record, const std::string &Route);

  EventLoop &Loop;
  const Clock &Time;
  Random &Source;
  const GatewaySettings &Settings;
  LocalGate &Gate;
  GateLinkListener &Owner;
  NodeDirectory Directory;
  PeerSelector Selector;
  std::map<std::string, std::unique_ptr<GateLink>, std::less<>> Links;
  /// Service times of routes at the gates, by node and route.
  std::map<std::string, std::map<std::string, Duration>, std::less<>>
      RouteTimes;
  /// Smoothed bytes of a call and its answer, by route.
  std::map<std::string, double> RouteBytes;
  /// Runs of the local gate for calls of this node.
  std::map<std::uint64_t, std::uint64_t> LocalRuns;
};

} // namespace camphorpin

#endif
