#ifndef CAMPHORPIN_SRC_MEMBERSHIP_MEMBERSHIPSETTINGS_H
#define CAMPHORPIN_SRC_MEMBERSHIP_MEMBERSHIPSETTINGS_H

#include "camphorpin/Core.h"

#include <cstddef>

namespace camphorpin {

/// \class MembershipSettings
/// \brief Periods and budgets of the membership protocol.
struct MembershipSettings {
  /// Time between two scheduled probes, and between two probes of a member that
  /// this node suspects. Also the total timeout of a probe at a health score of
  /// 0.
  Duration ProbePeriod = Duration::seconds(1);
  /// Timeout of a direct acknowledgement at a health score of 0, after which
  /// other members are asked to probe.
  Duration DirectTimeout = Duration::millis(300);
  /// Number of members that are asked to probe one that has not answered.
  std::size_t IndirectProbes = 3;
  /// Suspicion timeout per factor of ten in the number of members. With 3 s,
  /// running members were declared dead at a datagram loss of 20%.
  Duration SuspicionPerDecade = Duration::seconds(4);
  /// How long the records of dead and left members are kept.
  Duration TombstoneRetention = Duration::seconds(600);
  /// Time between two comparisons of the table with a random member.
  Duration SyncPeriod = Duration::seconds(60);
  /// If the node was not scheduled for longer than this, its probes in flight
  /// are dropped, because their timeouts say nothing about other members.
  Duration PauseThreshold = Duration::seconds(2);
  /// Bytes of deltas on one probe or acknowledgement. Together with the header
  /// a datagram stays below the usual MTU.
  std::size_t DeltaBytes = 600;
  /// Report an unreachable availability zone as a whole instead of member by
  /// member. Disabled only to measure what this saves.
  bool AggregateZoneFailures = true;
  /// Number of members that are sent an urgent change at once.
  std::size_t UrgentFanout = 3;
};

} // namespace camphorpin

#endif
