#ifndef CAMPHORPIN_SRC_MEMBERSHIP_ZONEMONITOR_H
#define CAMPHORPIN_SRC_MEMBERSHIP_ZONEMONITOR_H

#include "camphorpin/Core.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace camphorpin {

/// \class ZoneMonitor
/// \brief Decides whether a whole availability zone is unreachable.
///
/// Several suspects in one zone start a sample: the node probes further members
/// of the zone, chosen at random. The zone is unreachable only if more than
/// half of the sample fails, so a failed rack does not make its zone
/// unreachable. No member of the zone is confirmed dead while the sample is
/// running.
class ZoneMonitor {
public:
  /// Suspects in one zone that start a sample. In a small zone more than half
  /// of its members suffice, but at least MinSuspectThreshold.
  static constexpr std::size_t SuspectThreshold = 4;
  static constexpr std::size_t MinSuspectThreshold = 2;
  /// Probes in one sample.
  static constexpr std::size_t SampleSize = 5;
  /// Minimum time between the starts of two samples of a reachable zone; also
  /// the timeout of a sample.
  static constexpr Duration SampleInterval = Duration::seconds(10);

  /// Called with the number of suspects and of present members in \p Zone.
  /// Starts a sample if there are many suspects.
  /// \returns true if the caller should now probe SampleSize random members of
  /// the zone.
  bool startSampleIfManySuspects(const ZoneName &Zone, std::size_t Suspects,
                                 std::size_t Present, Instant Now);

  /// Handles the report of another node that \p Zone is unreachable, and starts
  /// a sample unless one is running or recent. The report alone decides
  /// nothing, because the other node may be the one that is partitioned.
  /// \returns true if the caller should now probe SampleSize random members of
  /// the zone.
  bool onReport(const ZoneName &Zone, Instant Now);

  /// Handles the outcome of any probe of a member of \p Zone.
  /// \returns true if the reachability of the zone changed.
  bool onProbeOutcome(const ZoneName &Zone, bool Answered);

  /// Called when a member of \p Zone has answered. Starts another sample if the
  /// zone is unreachable. \returns true if the caller should now probe
  /// SampleSize random members of the zone.
  bool startSampleIfUnreachable(const ZoneName &Zone, Instant Now);

  /// Ends samples whose probes were lost, so that they do not block the
  /// confirmation of deaths forever.
  void tick(Instant Now);

  bool reachable(const ZoneName &Zone) const;

  /// \returns true if \p Zone is unreachable or is being sampled. Its members
  /// are then not confirmed dead, and new suspicions are neither disseminated
  /// nor probed again.
  bool isUnreachableOrSampled(const ZoneName &Zone) const;

  std::vector<ZoneName> unreachable() const;

private:
  struct ZoneState {
    bool Unreachable = false;
    bool Sampling = false;
    std::size_t Answered = 0;
    std::size_t Failed = 0;
    Instant LastSample = Instant::fromMillis(-SampleInterval.wholeMillis());
  };

  static void startSample(ZoneState &State, Instant Now);

  std::unordered_map<ZoneName, ZoneState> Zones;
};

} // namespace camphorpin

#endif
