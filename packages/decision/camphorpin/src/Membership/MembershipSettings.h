#ifndef CAMPHORPIN_SRC_MEMBERSHIP_MEMBERSHIPSETTINGS_H
#define CAMPHORPIN_SRC_MEMBERSHIP_MEMBERSHIPSETTINGS_H

#include "camphorpin/Core.h"

#include <cstddef>

namespace camphorpin {

/// \class MembershipSettings
/// \brief Periods and budgets of the membership protocol.
struct MembershipSettings {
  /// Time between two probes that a node starts.
  Duration ProbePeriod = Duration::seconds(1);
  /// Wait for a direct acknowledgement before others are asked to probe.
  Duration DirectTimeout = Duration::millis(300);
  /// Members that are asked to probe a silent one.
  std::size_t IndirectProbes = 3;
  /// Suspicion timeout per factor of ten in the number of members. With 3 s
  /// running members were declared dead when 20% of all datagrams were lost.
  Duration SuspicionPerDecade = Duration::seconds(4);
  /// How long dead and left members are remembered.
  Duration TombstoneRetention = Duration::seconds(600);
  /// Time between two comparisons of the table with a random member.
  Duration SyncPeriod = Duration::seconds(60);
  /// A node that was not scheduled for so long trusts none of its own timers.
  Duration PauseThreshold = Duration::seconds(2);
  /// Bytes of deltas on one probe or acknowledgement. Together with the header
  /// a datagram stays below the usual MTU.
  std::size_t DeltaBytes = 600;
  /// Report an unreachable availability zone as one fact. Off only to measure
  /// what the fact saves.
  bool AggregateZoneFailures = true;
  /// Members that get an urgent change at once.
  std::size_t UrgentFanout = 3;
};

} // namespace camphorpin

#endif
