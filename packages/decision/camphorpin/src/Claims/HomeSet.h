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

/// \brief Number of a version of a home set. It equals the version of the
/// document homes/<service>; 0 stands for no epoch.
using Epoch = std::uint64_t;

/// \brief Older mirrors of a home beyond this number are not listed.
inline constexpr std::size_t MaxMirrorLinks = 4;

/// \brief The largest number of homes, and of former homes, in a home set.
inline constexpr std::size_t MaxHomes = 512;

/// \class MirrorLink
/// \brief The mirror that a home uses from one epoch on.
struct MirrorLink {
  /// Empty if the home has no mirror.
  std::optional<ProcessId> Mirror;
  /// The first epoch of this pair of home and mirror.
  Epoch Since = 0;

  bool operator==(const MirrorLink &) const = default;
};

/// \class HomeAssignment
/// \brief A period in which a process is a home.
struct HomeAssignment {
  ProcessId Process;
  ZoneName Zone;
  /// First epoch in which the process is a home.
  Epoch Since = 0;
  /// Last epoch in which the process is a home; 0 if it is one now.
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
/// \brief All mirrors that a process used, as far as the home set tells.
struct MirrorHistory {
  /// Newest first.
  std::vector<MirrorLink> Links;
  /// The list goes back to the first epoch of the process.
  bool Complete = false;
};

/// \class HomeSet
/// \brief The homes of a service in one epoch, with the former homes that still
/// matter: the content of the document homes/<service>.
///
/// With the former homes a reader of this version alone can tell the home of a
/// key in each epoch since the horizon, so that nobody needs to have read the
/// versions between.
class HomeSet {
public:
  /// An empty set of epoch 0, as if the document did not exist.
  HomeSet() = default;

  /// \returns the set that \p Json describes, or nothing if it is malformed.
  static std::optional<HomeSet> parse(std::string_view Json);

  /// \returns the canonical JSON content of the document.
  std::string toJson() const;

  camphorpin::Epoch epoch() const { return EpochNumber; }

  /// \returns the first epoch for which all homes are listed.
  camphorpin::Epoch horizon() const { return Horizon; }

  std::span<const HomeAssignment> homes() const { return Homes; }
  std::span<const HomeAssignment> formerHomes() const { return FormerHomes; }

  /// \returns the home of \p Key in this epoch, or null if there are no homes.
  const HomeAssignment *homeOf(const RequestKey &Key) const;

  /// \returns the home of \p Key in epoch \p Past, or null.
  /// \pre horizon() <= Past <= epoch().
  const HomeAssignment *homeAt(camphorpin::Epoch Past,
                               const RequestKey &Key) const;

  /// \returns the current tenure of \p Process, or null.
  const HomeAssignment *find(const ProcessId &Process) const;

  /// \returns the mirrors of \p Process in all its listed tenures.
  MirrorHistory mirrorHistory(const ProcessId &Process) const;

  /// \returns the set of the next epoch with exactly \p Desired as homes. A
  /// home keeps its mirror while that is in another availability zone and a
  /// home. \pre Desired.size() <= MaxHomes, without repeated processes.
  HomeSet next(std::span<const HomeCandidate> Desired) const;

  /// \returns this set without the former homes whose last epoch is before
  /// \p FirstKept. Those must be unable to start anything, and their keys must
  /// have expired.
  HomeSet withoutFormerHomesBefore(camphorpin::Epoch FirstKept) const;

  bool operator==(const HomeSet &) const = default;

private:
  void chooseMirrors();
  void hashProcesses();

  camphorpin::Epoch EpochNumber = 0;
  camphorpin::Epoch Horizon = 1;
  std::vector<HomeAssignment> Homes;
  /// In the order of their last epoch.
  std::vector<HomeAssignment> FormerHomes;
  /// Hashes of the processes of Homes and of FormerHomes, in the same order.
  std::vector<std::uint64_t> HomeHashes;
  std::vector<std::uint64_t> FormerHomeHashes;
};

} // namespace camphorpin

#endif
