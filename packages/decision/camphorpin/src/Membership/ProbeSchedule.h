#ifndef CAMPHORPIN_SRC_MEMBERSHIP_PROBESCHEDULE_H
#define CAMPHORPIN_SRC_MEMBERSHIP_PROBESCHEDULE_H

#include "camphorpin/src/Membership/MemberTable.h"

#include <cstddef>
#include <optional>
#include <unordered_set>
#include <vector>

namespace camphorpin {

/// \class ProbeSchedule
/// \brief Chooses whom to probe: all present known in a shuffled round, so
/// that the time until a failed member is probed is bounded, and now and then a
/// dead one, so that two sides of a healed partition find each other.
class ProbeSchedule {
public:
  /// One probe in this many goes to a dead member.
  static constexpr std::size_t DeadProbeInterval = 10;

  /// \returns the next member to probe, or nothing if none is known.
  std::optional<HostAddress> next(const MemberTable &Table, HostAddress Self,
                                  Random &Source);

  /// Puts a new member at a random place in the rest of the round. A round
  /// takes as many periods as there are known, which a newcomer and its first
  /// probe must not wait for.
  void add(HostAddress Address, Random &Source);

  /// \returns the known of the current round.
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
