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
/// Answers the load of a fleet on the store: if every node read every change,
/// the calls would grow with the product of nodes and changes. The nodes of an
/// availability zone are ordered by a hash of their names. The first two read
/// the store. Each other node follows two nodes before it in the order, so that
/// the chains have no circle, each node is followed by a bounded number of
/// others, and no single failure cuts a node off. Nodes that can't be reached
/// are left out.
///
/// A node polls those that it follows. As long as one of them says that what it
/// knows is current, the node doesn't read; otherwise it reads the store
/// itself.
class DisseminationTopology {
public:
  /// Nodes of each availability zone that read the store if all is well.
  static constexpr std::size_t ReadersPerZone = 2;

  /// \param Self the name of this node.
  DisseminationTopology(std::string Self, std::string Zone, Instant Started);

  /// Chooses the nodes to follow.
  /// \param Reachable returns false for nodes to which connections fail.
  void update(const NodeDirectory &Directory,
              const std::function<bool(const std::string &)> &Reachable);

  /// \returns the nodes that this one follows; empty if it is to read the
  /// store.
  const std::vector<std::string> &followed() const { return Followed; }

  /// \returns the nodes that read the store in all availability zones if all is
  /// well.
  const std::vector<std::string> &readers() const { return Readers; }

  /// A followed node has answered.
  /// \param Current what it knows is current.
  void onAnswer(std::string_view Node, bool Current, Instant Now);

  /// \returns true if a followed node has said lately that it is current.
  bool followsCurrentNode(Instant Now) const;

  /// \returns true if this node is to read the store itself.
  bool shouldReadStore(Instant Now) const { return Now >= storeReadDue(Now); }

  /// \returns when the node is to read the store itself, if nothing changes.
  Instant storeReadDue(Instant Now) const;

private:
  void orderNodes(const NodeDirectory &Directory);

  std::string Self;
  std::string Zone;
  Instant Started;
  std::uint64_t OrderedDigest = 0;
  /// The nodes of the zone before this one.
  std::vector<std::string> Predecessors;
  std::vector<std::string> Readers;
  /// The nodes before this one that can be reached.
  std::size_t Position = 0;
  std::vector<std::string> Followed;
  Instant LastAnswer;
  Instant LastCurrentAnswer;
};

} // namespace camphorpin

#endif
