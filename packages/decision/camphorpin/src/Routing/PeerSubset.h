#ifndef CAMPHORPIN_SRC_ROUTING_PEERSUBSET_H
#define CAMPHORPIN_SRC_ROUTING_PEERSUBSET_H

#include "camphorpin/src/Membership/MemberRecord.h"

#include <cstddef>
#include <span>
#include <vector>

namespace camphorpin {

/// \brief Maximum number of backend servers of one service that a node sends
/// calls to. It bounds the connections of a node: a node that calls 10 services
/// holds 200.
inline constexpr std::size_t MaxSubsetSize = 20;

/// \brief Places in the subset reserved for members of other availability
/// zones, so that peers remain when the node's own zone is lost.
inline constexpr std::size_t ReservedForOtherZones = 6;

/// Chooses the subset by rendezvous hashing, so that a joining or leaving
/// member changes one place in the subset, and different nodes choose different
/// subsets.
/// \param Self the choosing node.
/// \param Members the members of the service that accept calls.
/// \returns at most MaxSubsetSize members, the own zone's first.
std::vector<MemberRecord>
choosePeerSubset(const MemberRecord &Self,
                 std::span<const MemberRecord> Members);

} // namespace camphorpin

#endif
