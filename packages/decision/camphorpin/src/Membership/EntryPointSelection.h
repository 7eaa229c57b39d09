#ifndef CAMPHORPIN_SRC_MEMBERSHIP_ENTRYPOINTSELECTION_H
#define CAMPHORPIN_SRC_MEMBERSHIP_ENTRYPOINTSELECTION_H

#include "camphorpin/src/Membership/MemberTable.h"

#include <cstddef>

namespace camphorpin {

/// \class EntryPointSelection
/// \brief Decides whether this node advertises itself in the log as an entry
/// point for joining nodes.
///
/// Nodes do not coordinate. Each region should have TargetPerRegion fresh entry
/// points; while it has fewer, each of its n nodes writes with probability
/// TargetPerRegion / n per check, so that a few records are appended whatever
/// the size of the fleet.
class EntryPointSelection {
public:
  static constexpr std::size_t TargetPerRegion = 3;
  /// Time between two checks of one node. It is longer than a record takes to
  /// reach all nodes.
  static constexpr Duration CheckInterval = Duration::seconds(20);

  /// \param FreshInRegion recent entry points of the node's region in the log
  /// that are, as far as this node knows, alive.
  /// \param MembersInRegion nodes of the region, this one included.
  /// \returns true if this node should append an entry record now.
  bool shouldAdvertise(std::size_t FreshInRegion, std::size_t MembersInRegion,
                       Random &Source, Instant Now);

private:
  Instant NextCheck;
};

} // namespace camphorpin

#endif
