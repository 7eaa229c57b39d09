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

/// \brief The state of a process in the membership view of this node.
enum class HomeMemberState : std::uint8_t { Alive, Leaving, Dead };

/// \class HomeMember
/// \brief A process of the service.
struct HomeMember {
  ProcessId Process;
  ZoneName Zone;
  HomeMemberState State = HomeMemberState::Alive;
};

/// \class HomeSetProposerOptions
/// \brief Time intervals between changes of a home set.
struct HomeSetProposerOptions {
  /// Changes observed within this interval are combined into one record.
  Duration CoalesceInterval = Duration::seconds(2);
  /// Replaces CoalesceInterval when this process itself leaves. It is shorter
  /// because the process proposes its own removal without waiting for others.
  Duration LeaveCoalesceInterval = Duration::millis(200);
  /// Delay between the proposals of consecutive processes in the hash order.
  Duration StaggerDelay = Duration::seconds(3);
  /// A proposal that has not taken effect is repeated after this interval.
  Duration ProposalRetryInterval = Duration::seconds(10);
  /// Minimum interval between two changes. It doubles, up to MaxChangeInterval,
  /// with each change that follows within twice the current interval.
  Duration MinChangeInterval = Duration::seconds(2);
  Duration MaxChangeInterval = Duration::seconds(60);
};

/// \class HomeSetActions
/// \brief Outgoing requests of HomeSetProposer; implemented by the node.
class HomeSetActions {
public:
  virtual ~HomeSetActions() = default;

  /// Appends a change of homes/<service> with base version Next.epoch() - 1.
  /// Of several concurrent proposals the log accepts one.
  virtual void proposeHomes(const HomeSet &Next) = 0;
};

/// \class HomeSetProposer
/// \brief Proposes changes of the home set of one service.
///
/// Every process of the service has a proposer. A hash of the process and the
/// epoch orders them and staggers their proposals without communication;
/// compare-and-set in the log resolves conflicts.
class HomeSetProposer {
public:
  HomeSetProposer(const ProcessId &Self, const HomeSetProposerOptions &Options,
                  const ClaimOptions &Claims, HomeSetActions &Actions,
                  const ProcessExitDetector &ExitDetector)
      : Self(Self), Options(Options), Claims(Claims), Actions(Actions),
        ExitDetector(ExitDetector) {}

  /// Applies a home set read from the log. An older set is ignored.
  void onHomeSet(const HomeSet &NewSet, Instant Now);

  /// Sets the membership view.
  /// \param NewMembers all known processes of the service, this one included. A
  /// home that is not listed stays a home, because its state is unknown.
  void onMembers(std::span<const HomeMember> NewMembers);

  void tick(Instant Now);

private:
  /// When this process first read of a former home in a home set, and when it
  /// first detected that the former home had ended.
  struct FormerHomeObservation {
    /// HomeAssignment::Until of the observed assignment.
    Epoch Until = 0;
    Instant FirstReadAt;
    std::optional<Instant> EndDetectedAt;
  };

  /// \returns the current homes that have neither left nor failed, and further
  /// alive members, one per address, up to MaxHomes.
  std::vector<HomeCandidate> desiredHomes() const;
  bool differsFromCurrent(std::span<const HomeCandidate> Desired) const;
  /// \returns the epoch from which on former homes must stay listed. The keys
  /// of all former homes whose last epoch is earlier have expired.
  Epoch firstFormerEpochToKeep(Instant Now) const;
  /// \returns the delay that staggers the proposals: one StaggerDelay for each
  /// process that precedes this one in the hash order.
  Duration proposalDelay() const;
  /// \returns true if this process is a home and leaves the service.
  bool isLeavingHome() const;

  ProcessId Self;
  HomeSetProposerOptions Options;
  ClaimOptions Claims;
  HomeSetActions &Actions;
  const ProcessExitDetector &ExitDetector;
  HomeSet Set;
  std::vector<HomeMember> Members;
  std::map<ProcessId, FormerHomeObservation> ObservedFormerHomes;
  /// When the desired homes were first found to differ from the current ones.
  std::optional<Instant> DifferentSince;
  std::optional<Instant> ProposedAt;
  Instant ChangedAt;
  Duration ChangeInterval;
};

} // namespace camphorpin

#endif
