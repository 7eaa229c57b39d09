#ifndef CAMPHORPIN_SRC_CLAIMS_PRIOROWNERRESOLVER_H
#define CAMPHORPIN_SRC_CLAIMS_PRIOROWNERRESOLVER_H

#include "camphorpin/Core.h"
#include "camphorpin/src/Claims/ClaimActions.h"
#include "camphorpin/src/Claims/ClaimOptions.h"
#include "camphorpin/src/Claims/HomeSet.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace camphorpin {

/// \brief What a home knows about the past of a key that its table lacks.
enum class KeyHistory : std::uint8_t {
  /// No other process has run it or can run it.
  Clear,
  /// A former home of the key is not resolved yet.
  Unresolved,
  /// It may have run at a process whose table is lost.
  MayHaveRun,
};

/// \class PriorOwnerResolver
/// \brief Resolves the former homes of the keys that this process owns.
///
/// A source is a process that owned such a key in an earlier epoch. It is
/// resolved when it can start nothing of the epochs in which it owned the key,
/// and its table is known or a cutoff stands for it. The owners of a key are
/// followed back in time until one that knew the whole past of its keys.
/// State: one record for each listed home and former home.
class PriorOwnerResolver {
public:
  PriorOwnerResolver(const ProcessId &Self, const ClaimOptions &Options,
                     ClaimActions &Actions,
                     const ProcessExitDetector &ExitDetector)
      : Self(Self), Options(Options), Actions(Actions),
        ExitDetector(ExitDetector) {}

  /// Takes over a newer home set.
  /// \pre NewSet.epoch() is greater than that of the set before.
  void adopt(const HomeSet &NewSet, Instant Now);

  /// \returns true if the page belongs to an open question; its entries must
  /// then be merged into the table before the next call.
  bool expects(const ResolvePage &Page) const;

  /// \pre expects(Page), and its entries are in the table.
  void accept(const ResolvePage &Page, Instant Now);

  /// Repeats questions, applies proofs of end and waits that have passed.
  void tick(Instant Now, Instant WallNow);

  KeyHistory history(const RequestKey &Key) const;

  /// \returns true if the past of all keys of this epoch is known.
  bool settled() const;

  const ClaimKnowledge &knowledge() const { return Knowledge; }

  /// \returns a number that grows with each change of knowledge().
  std::uint64_t revision() const { return Revision; }

  const HomeSet &homes() const { return Set; }

  /// \returns the number of sources that are not resolved.
  std::size_t unresolved() const;

  /// \returns the former homes, still running as far as is known, whose tables
  /// this process has taken over since the last call.
  std::vector<ProcessId> takeResolved();

private:
  /// The answer of a former home or of one mirror, read page by page.
  struct Query {
    Epoch LinkSince = 0;
    ProcessId To;
    RequestKey After;
    std::optional<ClaimKnowledge> FirstPageKnowledge;
    Instant SentAt;
    bool Sent = false;
  };
  struct PriorOwner {
    bool Resolved = false;
    /// Resolved by a cutoff instead of a table.
    bool TableLost = false;
    std::vector<Epoch> Settled;
    Instant StartedAt;
    Query Home;
    /// The mirror that is asked, if one is.
    std::optional<Query> Mirror;
    std::size_t NextLink = 0;
    bool MirrorsFailed = false;
  };
  /// A cutoff and the epoch below which the process can start nothing.
  struct Fence {
    Instant Time;
    Epoch Below = 0;
  };

  bool mayHaveOwnedKeys(const HomeAssignment &Assignment,
                        Epoch PastEpoch) const;
  bool wasOwnerSettledAt(const HomeAssignment &Assignment,
                         Epoch PastEpoch) const;
  bool startResolving(const ProcessId &Process, Instant Now);
  /// \returns true if all keys of this home have an owner in epoch \p PastEpoch
  /// or later that knew their past. Sets \p Unresolved if a source is
  /// unresolved.
  bool allOwnersSettledAt(Epoch PastEpoch, Instant Now, bool &Unresolved);
  bool areOldestOwnersResolved(Instant Now);
  bool wasHomeAt(Epoch PastEpoch) const;
  bool wasSettled(Epoch PastEpoch) const;
  bool isResolved(const ProcessId &Process) const;
  void markSettled();
  void resolve(PriorOwner &Owner, const ProcessId &Process,
               const ClaimKnowledge &Received);
  void updateSettled(Instant Now);
  void sendQuery(Query &Pending, const ProcessId &Process, Instant Now);
  void tickMirrors(PriorOwner &Owner, const ProcessId &Process, Instant Now);
  void nextMirror(PriorOwner &Owner, const ProcessId &Process);
  void tickPriorOwner(PriorOwner &Owner, const ProcessId &Process, Instant Now,
                      Instant WallNow);
  void declareTableLost(PriorOwner &Owner, const ProcessId &Process,
                        Instant WallNow);
  void mergeCutoffs(const ClaimKnowledge &Added);
  Epoch requiredFenceEpoch(const ProcessId &Process) const;
  Instant firstReadAt(Epoch PastEpoch) const;
  bool isCutOff(const ProcessId &Owner, const RequestKey &Key) const;

  ProcessId Self;
  ClaimOptions Options;
  ClaimActions &Actions;
  const ProcessExitDetector &ExitDetector;
  HomeSet Set;
  ClaimKnowledge Knowledge;
  std::map<ProcessId, PriorOwner> PriorOwners;
  std::map<ProcessId, Fence> Fences;
  /// When this process first read each epoch.
  std::map<Epoch, Instant> EpochReadAt;
  std::vector<ProcessId> NewlyResolved;
  std::uint64_t Revision = 0;
};

} // namespace camphorpin

#endif
