#ifndef CAMPHORPIN_SRC_GATEWAY_DISSEMINATIONTOPOLOGY_H
#define CAMPHORPIN_SRC_GATEWAY_DISSEMINATIONTOPOLOGY_H

#include "camphorpin/src/Gateway/NodeDirectory.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpin {

/// \class DisseminationTopology
/// \brief Decides whether a node reads the platform's store itself or follows
/// other nodes that do.
///
/// Limits the load of the fleet on the store: if every node read every change,
/// the number of calls would grow with the product of nodes and changes. The
/// nodes of an availability zone are ordered by a hash of their names. The
/// first two read the store. Each other node follows two nodes that precede it
/// in the order, so that the graph is acyclic, the number of followers per node
/// is bounded, and no single failure disconnects a node. Unreachable nodes are
/// left out.
///
/// A node polls the nodes that it follows. While at least one of them reports
/// that its state is current, the node doesn't read; otherwise it reads the
/// store itself.
class DisseminationTopology {
public:
  /// Nodes of each availability zone that read the store in normal operation.
  static constexpr std::size_t ReadersPerZone = 2;

  /// \param Self the name of this node.
  DisseminationTopology(std::string Self, std::string Zone, Instant Started);

  /// Recomputes the nodes to follow.
  /// \param Reachable returns false for nodes to which connections fail.
  void update(const NodeDirectory &Directory,
              const std::function<bool(const std::string &)> &Reachable);

  /// \returns the nodes that this one follows; empty if it reads the store in
  /// normal operation.
  const std::vector<std::string> &followed() const { return Followed; }

  /// \returns the nodes of all availability zones that read the store in normal
  /// operation. Nodes that can't be reached are replaced by their successors.
  const std::vector<std::string> &readers() const { return Readers; }

  /// A followed node has answered a poll.
  /// \param Current true if its state is current.
  void onAnswer(std::string_view Node, bool Current, Instant Now);

  /// \returns true if a followed node has recently reported that it is current.
  bool followsCurrentNode(Instant Now) const;

  /// \returns true if this node should read the store itself.
  bool shouldReadStore(Instant Now) const { return Now >= storeReadDue(Now); }

  /// \returns when this node should read the store itself unless a followed
  /// node answers before.
  Instant storeReadDue(Instant Now) const;

private:
  /// Computes Predecessors and Candidates from the order of the name hashes.
  void orderNodes(const NodeDirectory &Directory);
  /// Computes Readers from Candidates.
  void chooseReaders(const std::function<bool(const std::string &)> &Reachable);

  std::string Self;
  std::string Zone;
  Instant Started;
  /// Digest of the directory from which Predecessors and Candidates were
  /// computed.
  std::uint64_t OrderedDigest = 0;
  /// The nodes of the zone that precede this one.
  std::vector<std::string> Predecessors;
  /// The first nodes of each zone.
  std::vector<std::vector<std::string>> Candidates;
  /// The nodes of all zones that read the store in normal operation.
  std::vector<std::string> Readers;
  /// Number of reachable nodes that precede this one.
  std::size_t Position = 0;
  std::vector<std::string> Followed;
  Instant LastAnswer;
  Instant LastCurrentAnswer;
};

} // namespace camphorpin

#endif
