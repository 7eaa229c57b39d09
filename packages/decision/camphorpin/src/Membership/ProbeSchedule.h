#ifndef CAMPHORPIN_SRC_MEMBERSHIP_PROBESCHEDULE_H
#define CAMPHORPIN_SRC_MEMBERSHIP_PROBESCHEDULE_H

#include "camphorpin/src/Membership/MemberTable.h"

#include <cstddef>
#include <optional>
#include <unordered_set>
#include <vector>

namespace camphorpin {

/// \class ProbeSchedule
/// \brief Selects the member to probe next. Each round covers all present
/// members in shuffled order, which bounds the time until a failed member is
/// probed. At intervals a dead member is probed, so that the two sides of a
/// healed partition find each other.
class ProbeSchedule {
public:
  /// One probe in this many goes to a dead member.
  static constexpr std::size_t DeadProbeInterval = 10;

  /// \returns the next member to probe, or nothing if none is known.
  std::optional<HostAddress> next(const MemberTable &Table, HostAddress Self,
                                  Random &Source);

  /// Inserts a new member at a random position in the rest of the round. A
  /// round takes as many probe periods as there are members; a new member must
  /// not wait that long for its first probe.
  void add(HostAddress Address, Random &Source);

  /// \returns the members of the current round.
  const std::vector<HostAddress> &members() const { return Round; }

private:
  void startRound(const MemberTable &Table, HostAddress Self, Random &Source);

  std::vector<HostAddress> Round;
  std::unordered_set<HostAddress> InRound;
  std::vector<HostAddress> Dead;
  std::size_t Position = 0;
  std::size_t ProbeCount = 0;
};

} // namespace camphorpin

#endif
