#ifndef CAMPHORPIN_SRC_ROUTING_PEERSUBSET_H
#define CAMPHORPIN_SRC_ROUTING_PEERSUBSET_H

#include "camphorpin/src/Membership/MemberRecord.h"

#include <cstddef>
#include <span>
#include <vector>

namespace camphorpin {

/// \brief Backend servers of one service that one node sends calls to, at the
/// most. It bounds the connections of a node: a node that calls 10 services
/// holds 200.
inline constexpr std::size_t MaxSubsetSize = 20;

/// \brief Places in the subset that other availability zones get while they
/// have members, so that the loss of the own zone leaves somewhere to go.
inline constexpr std::size_t ReservedForOtherZones = 6;

/// Chooses the subset by rendezvous hashing, so that a member that joins or
/// leaves changes one place in it, and different callers choose differently.
/// \param Self the choosing node.
/// \param Members the members of the service that take work.
/// \returns at most MaxSubsetSize members, the own zone's first.
std::vector<MemberRecord>
choosePeerSubset(const MemberRecord &Self,
                 std::span<const MemberRecord> Members);

} // namespace camphorpin

#endif
