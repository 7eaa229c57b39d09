#ifndef CAMPHORPIN_SRC_CLAIMS_HOMESETPROPOSER_H
#define CAMPHORPIN_SRC_CLAIMS_HOMESETPROPOSER_H

#include "camphorpin/Core.h"
#include "camphorpin/src/Claims/ClaimActions.h"
#include "camphorpin/src/Claims/ClaimOptions.h"
#include "camphorpin/src/Claims/HomeSet.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace camphorpin {

/// \brief The state of a process as the membership of this node sees it.
enum class HomeMemberState : std::uint8_t { Alive, Leaving, Dead };

/// \class HomeMember
/// \brief A process of the service.
struct HomeMember {
  ProcessId Process;
  ZoneName Zone;
  HomeMemberState State = HomeMemberState::Alive;
};

/// \class HomeSetProposerOptions
/// \brief When a change of a home set is proposed.
struct HomeSetProposerOptions {
  /// Changes that are seen within this time go into one record.
  Duration CoalesceInterval = Duration::seconds(2);
  /// The same, when this process itself leaves: nobody else waits for it.
  Duration LeaveCoalesceInterval = Duration::millis(200);
  /// The next process in the order proposes so much later.
  Duration StaggerDelay = Duration::seconds(3);
  /// A proposal whose effect is not seen is repeated after this time.
  Duration ProposalRetryInterval = Duration::seconds(10);
  /// Smallest time between two changes; doubles with each change that follows
  /// soon, up to the largest.
  Duration MinChangeInterval = Duration::seconds(2);
  Duration MaxChangeInterval = Duration::seconds(60);
};

/// \class HomeSetActions
/// \brief What the keeper does to the outside.
class HomeSetActions {
public:
  virtual ~HomeSetActions() = default;

  /// Appends a change of homes/<service> with base Next.epoch() - 1. Others may
  /// propose at the same time; the log accepts one.
  virtual void proposeHomes(const HomeSet &Next) = 0;
};

/// \class HomeSetProposer
/// \brief Proposes changes of the home set of one service.
///
/// Every process of the service has one. They take turns by a hash of the
/// epoch, without agreement; compare-and-set in the log decides.
class HomeSetProposer {
public:
  HomeSetProposer(const ProcessId &Self, const HomeSetProposerOptions &Options,
                  const ClaimOptions &Claims, HomeSetActions &Actions,
                  const ProcessExitDetector &ExitDetector)
      : Self(Self), Options(Options), Claims(Claims), Actions(Actions),
        ExitDetector(ExitDetector) {}

  /// A home set was read from the log.
  void onHomeSet(const HomeSet &NewSet, Instant Now);

  /// \param NewMembers all known processes of the service, this one included. A
  /// home that is not listed stays a home, because nothing is known about it.
  void onMembers(std::span<const HomeMember> NewMembers);

  void tick(Instant Now);

private:
  /// When this process first saw a former home, and first knew of its end.
  struct FormerHomeObservation {
    Epoch Until = 0;
    Instant Since;
    std::optional<Instant> EndedSince;
  };

  std::vector<HomeCandidate> desiredHomes() const;
  bool differsFromCurrent(std::span<const HomeCandidate> Desired) const;
  Epoch firstFormerEpochToKeep(Instant Now) const;
  Duration proposalDelay() const;
  bool isLeavingHome() const;

  ProcessId Self;
  HomeSetProposerOptions Options;
  ClaimOptions Claims;
  HomeSetActions &Actions;
  const ProcessExitDetector &ExitDetector;
  HomeSet Set;
  std::vector<HomeMember> Members;
  std::map<ProcessId, FormerHomeObservation> ObservedFormerHomes;
  std::optional<Instant> DifferentSince;
  std::optional<Instant> ProposedAt;
  Instant ChangedAt;
  Duration ChangeInterval;
};

} // namespace camphorpin

#endif
