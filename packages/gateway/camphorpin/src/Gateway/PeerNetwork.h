#ifndef CAMPHORPIN_SRC_GATEWAY_PEERNETWORK_H
#define CAMPHORPIN_SRC_GATEWAY_PEERNETWORK_H

#include "camphorpin/src/Gateway/BackendProxy.h"
#include "camphorpin/src/Gateway/FleetConfiguration.h"
#include "camphorpin/src/Gateway/NodeDirectory.h"
#include "camphorpin/src/Gateway/PeerClient.h"
#include "camphorpin/src/Gateway/PeerSelector.h"

#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace camphorpin {

/// \class PeerNetwork
/// \brief The directory of nodes and the connections to them.
class PeerNetwork {
public:
  PeerNetwork(EventLoop &Loop, const Clock &Time, Random &RandomSource,
              const GatewaySettings &Settings, BackendProxy &Proxy,
              PeerClientListener &Listener);

  const NodeDirectory &directory() const { return Directory; }

  /// Adds a record, and drops an idle connection that it makes obsolete.
  /// \returns true if the record is new.
  bool add(const NodeRecord &Record);

  /// \param Tried nodes that must not be chosen.
  /// \returns the node to which the request should be sent, or an empty string.
  std::string choose(std::string_view Service, const RouteRule &Route,
                     std::span<const std::string> Tried);

  /// Records an answer of \p Node to a call.
  /// \param Bytes the size of the call in bytes.
  void recordAnswer(const std::string &Node, const std::string &Route,
                    std::size_t Bytes, const PeerAnswer &Answer);

  /// Sends a call to \p Node.
  void call(const std::string &Node, PeerCall Call,
            BackendProxy::AnswerCallback Done);
  void cancel(const std::string &Node, std::uint64_t Id);

  /// Sends \p Frame to all nodes to which this node has a connection.
  void broadcast(const PeerFrame &Frame);

  /// Sends \p Frame to \p Node if there is a connection; otherwise opens one,
  /// whose hello frames carry the digests of both sides.
  void send(const std::string &Node, const PeerFrame &Frame);

  /// \returns false if connections to \p Node fail.
  bool reachable(const std::string &Node) const;

  /// Closes connections whose idle timeout has passed. Called periodically.
  void tick();

  /// \returns the number of nodes that share the fleet's retry budget: those
  /// that have not departed, at least 1.
  std::size_t nodes() const {
    return std::max<std::size_t>(1, Directory.presentCount());
  }

  /// \returns the number of nodes to which a connection is open.
  std::size_t connected() const;

private:
  PeerClient &client(const NodeRecord &Record);
  PeerCandidate candidate(const NodeRecord &Record, const std::string &Route);

  EventLoop &Loop;
  const Clock &Time;
  Random &RandomSource;
  const GatewaySettings &Settings;
  BackendProxy &Proxy;
  PeerClientListener &Listener;
  NodeDirectory Directory;
  PeerSelector Selector;
  std::map<std::string, std::unique_ptr<PeerClient>, std::less<>> Clients;
  /// Service times, by node and route.
  std::map<std::string, std::map<std::string, Duration>, std::less<>>
      RouteTimes;
  /// Smoothed size in bytes of a call and its answer, by route.
  std::map<std::string, double> RouteBytes;
  /// Run ids at the local backend server, by call id.
  std::map<std::uint64_t, std::uint64_t> LocalRuns;
};

} // namespace camphorpin

#endif
