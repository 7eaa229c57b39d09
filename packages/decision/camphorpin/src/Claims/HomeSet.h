#ifndef CAMPHORPIN_SRC_CLAIMS_HOMESET_H
#define CAMPHORPIN_SRC_CLAIMS_HOMESET_H

#include "camphorpin/Core.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpin {

/// \brief Version number of a home set, equal to the version of the document
/// homes/<service>. 0 means that there is none.
using Epoch = std::uint64_t;

/// \brief The maximum number of mirrors listed for a home; older ones are
/// dropped.
inline constexpr std::size_t MaxMirrorLinks = 4;

/// \brief The maximum number of homes, and of former homes, in a home set.
inline constexpr std::size_t MaxHomes = 512;

/// \class MirrorLink
/// \brief The mirror that a home uses from a given epoch on.
struct MirrorLink {
  /// Not set if the home has no mirror.
  std::optional<ProcessId> Mirror;
  /// The first epoch of this pair of home and mirror.
  Epoch Since = 0;

  bool operator==(const MirrorLink &) const = default;
};

/// \class HomeAssignment
/// \brief The assignment of a process as a home for a range of epochs.
struct HomeAssignment {
  ProcessId Process;
  ZoneName Zone;
  /// First epoch in which the process is a home.
  Epoch Since = 0;
  /// Last epoch in which the process was a home; 0 if it still is one.
  Epoch Until = 0;
  /// Newest first, at least one, at most MaxMirrorLinks.
  std::vector<MirrorLink> Mirrors;

  /// \returns true if the process is a home in epoch \p AtEpoch.
  bool covers(Epoch AtEpoch) const {
    return Since <= AtEpoch && (Until == 0 || AtEpoch <= Until);
  }

  bool operator==(const HomeAssignment &) const = default;
};

/// \class HomeCandidate
/// \brief A process that should be a home in the next epoch.
struct HomeCandidate {
  ProcessId Process;
  ZoneName Zone;
};

/// \class MirrorHistory
/// \brief The mirrors that a process has used, as far as the home set lists
/// them.
struct MirrorHistory {
  /// Newest first.
  std::vector<MirrorLink> Links;
  /// True if the list goes back to the first epoch of the process.
  bool Complete = false;
};

/// \class HomeSet
/// \brief The homes of a service in one epoch and the former homes that are
/// still needed: the content of the document homes/<service>.
///
/// A home is a process that decides whether requests with the keys that it owns
/// may be executed. Each key is owned by the home with the highest weight for
/// it (rendezvous hashing).
///
/// The former homes allow a reader of this version to determine the home of a
/// key in each epoch since the horizon, without the versions in between.
class HomeSet {
public:
  /// Creates an empty set of epoch 0, which stands for a missing document.
  HomeSet() = default;

  /// \returns the set that \p Json describes, or std::nullopt if malformed.
  static std::optional<HomeSet> parse(std::string_view Json);

  /// \returns the canonical JSON content of the document.
  std::string toJson() const;

  camphorpin::Epoch epoch() const { return EpochNumber; }

  /// \returns the first epoch whose homes are all listed.
  camphorpin::Epoch horizon() const { return Horizon; }

  std::span<const HomeAssignment> homes() const { return Homes; }
  std::span<const HomeAssignment> formerHomes() const { return FormerHomes; }

  /// \returns the home of \p Key in this epoch, i.e. the home with the highest
  /// weight for the key, or null if there are no homes.
  const HomeAssignment *homeOf(const RequestKey &Key) const;

  /// \returns the home of \p Key in epoch \p Past, or null.
  /// \pre horizon() <= Past <= epoch().
  const HomeAssignment *homeAt(camphorpin::Epoch Past,
                               const RequestKey &Key) const;

  /// \returns the current assignment of \p Process, or null.
  const HomeAssignment *find(const ProcessId &Process) const;

  /// \returns the mirrors of \p Process in its listed assignments, up to the
  /// newest assignment whose older mirrors have been dropped.
  MirrorHistory mirrorHistory(const ProcessId &Process) const;

  /// \returns the set of the next epoch with exactly \p Desired as homes. A
  /// home keeps its mirror as long as the mirror is a home in another
  /// availability zone.
  /// \pre Desired.size() <= MaxHomes, without duplicate processes.
  HomeSet next(std::span<const HomeCandidate> Desired) const;

  /// \returns this set without the former homes whose last epoch is before
  /// \p FirstKept.
  /// \pre Those processes cannot start any key, and their keys have expired.
  HomeSet withoutFormerHomesBefore(camphorpin::Epoch FirstKept) const;

  bool operator==(const HomeSet &) const = default;

private:
  /// Assigns a new mirror to each home that has no usable one or for which a
  /// home in a better location (see mirrorQuality()) is available. Among
  /// equally suitable homes the one that is a mirror of the fewest homes is
  /// taken.
  void chooseMirrors();
  /// Updates HomeHashes and FormerHomeHashes.
  void hashProcesses();

  camphorpin::Epoch EpochNumber = 0;
  camphorpin::Epoch Horizon = 1;
  std::vector<HomeAssignment> Homes;
  /// Ordered by their last epoch.
  std::vector<HomeAssignment> FormerHomes;
  /// Hashes of the processes in Homes and FormerHomes, in the same order.
  std::vector<std::uint64_t> HomeHashes;
  std::vector<std::uint64_t> FormerHomeHashes;
};

} // namespace camphorpin

#endif
