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

/// \brief What a home knows about the history of a key that is not in its
/// table.
enum class KeyHistory : std::uint8_t {
  /// No other process has run the key or can run it.
  Clear,
  /// A prior owner of the key is not resolved yet.
  Unresolved,
  /// The key may have run in a process whose table is lost.
  MayHaveRun,
};

/// \class PriorOwnerResolver
/// \brief Resolves the prior owners of the keys that this process owns.
///
/// A prior owner is a process that owned such a key in an earlier epoch. It is
/// resolved when it is fenced in the epochs in which it owned such keys, and
/// its table has been received or is replaced by a cutoff. The owners of a key
/// are searched backwards from the current epoch until one is found that had
/// settled its epoch, i.e. knew the history of all its keys.
///
/// State: one record for each listed home and former home.
class PriorOwnerResolver {
public:
  PriorOwnerResolver(const ProcessId &Self, const ClaimOptions &Options,
                     ClaimActions &Actions,
                     const ProcessExitDetector &ExitDetector)
      : Self(Self), Options(Options), Actions(Actions),
        ExitDetector(ExitDetector) {}

  /// Applies a newer home set.
  /// \pre NewSet.epoch() is greater than the epoch of the current set.
  void adopt(const HomeSet &NewSet, Instant Now);

  /// \returns true if \p Page answers a pending query. Its entries must then be
  /// merged into the table before accept() is called.
  bool expects(const ResolvePage &Page) const;

  /// Processes the answer to a pending query.
  /// \pre expects(Page), and the entries of the page are in the table.
  void accept(const ResolvePage &Page, Instant Now);

  /// Resends queries, and resolves prior owners that have ended or whose
  /// takeover wait has elapsed.
  void tick(Instant Now, Instant WallNow);

  /// \returns what is known about runs of \p Key in other processes. Meaningful
  /// only for a key that this process owns and that is not in its table.
  KeyHistory history(const RequestKey &Key) const;

  /// \returns true if the history of all keys of this home is known in the
  /// current epoch.
  bool settled() const;

  const ClaimKnowledge &knowledge() const { return Knowledge; }

  /// \returns a counter that increases with each change of knowledge().
  std::uint64_t revision() const { return Revision; }

  const HomeSet &homes() const { return Set; }

  /// \returns the number of prior owners that are not resolved.
  std::size_t unresolvedCount() const;

  /// \returns the former homes whose tables this process has received since the
  /// last call, without those known to have ended.
  std::vector<ProcessId> takeResolved();

private:
  /// The state of a paged query to a prior owner or to a mirror.
  struct Query {
    /// As in ResolveRequest: 0 for the query to the prior owner itself.
    Epoch LinkSince = 0;
    ProcessId To;
    /// The last key received so far; the next page starts after it.
    RequestKey After;
    std::optional<ClaimKnowledge> FirstPageKnowledge;
    Instant SentAt;
    bool Sent = false;
  };
  struct PriorOwner {
    bool Resolved = false;
    /// True if resolved by a cutoff instead of a table.
    bool TableLost = false;
    /// ClaimKnowledge::Settled of the received table.
    std::vector<Epoch> Settled;
    Instant StartedAt;
    Query HomeQuery;
    /// The query to the mirror that is queried now, if any.
    std::optional<Query> MirrorQuery;
    /// Index in MirrorHistory::Links of the mirror to be queried next.
    std::size_t NextLink = 0;
    /// True if the table cannot be received from a mirror.
    bool MirrorsFailed = false;
  };
  /// Records that the table of a process was declared lost: the time of the
  /// cutoff, and the epoch below which the process cannot start any key.
  struct Fence {
    Instant CutoffTime;
    Epoch Below = 0;
  };

  /// \returns true if the process may have owned, in epoch \p PastEpoch, a key
  /// that this process owns now.
  bool mayBePriorOwner(const HomeAssignment &Assignment, Epoch PastEpoch) const;
  bool wasOwnerSettledAt(const HomeAssignment &Assignment,
                         Epoch PastEpoch) const;
  /// Starts to query the prior owner unless that has been done.
  /// \returns true if the process is resolved.
  bool startResolving(const ProcessId &Process, Instant Now);
  /// Starts to resolve the prior owners in epoch \p PastEpoch. Sets
  /// \p Unresolved if one of them is not resolved.
  /// \returns true if the keys of this home had owners in this epoch and all of
  /// them had settled it.
  bool resolveOwnersAt(Epoch PastEpoch, Instant Now, bool &Unresolved);
  /// Starts to resolve all listed processes that were homes before the horizon.
  /// \returns true if all of them are resolved.
  bool resolveOwnersBeforeHorizon(Instant Now);
  bool wasHomeAt(Epoch PastEpoch) const;
  bool wasSettled(Epoch PastEpoch) const;
  bool isResolved(const ProcessId &Process) const;
  void markSettled();
  void resolve(PriorOwner &Owner, const ProcessId &Process,
               const ClaimKnowledge &Received);
  /// Starts the queries that are needed to settle the current epoch, and marks
  /// it as settled once the history of all keys is known.
  void updateSettled(Instant Now);
  void sendQuery(Query &Pending, const ProcessId &Process, Instant Now);
  /// Queries the mirrors of the prior owner one after the other, newest first.
  void tickMirrors(PriorOwner &Owner, const ProcessId &Process, Instant Now);
  /// Prepares the query to the next older mirror. If there is none, the prior
  /// owner is resolved if all its mirrors are known; otherwise, or if the home
  /// had no mirror, MirrorsFailed is set.
  void prepareNextMirrorQuery(PriorOwner &Owner, const ProcessId &Process);
  void tickPriorOwner(PriorOwner &Owner, const ProcessId &Process, Instant Now,
                      Instant WallNow);
  /// Resolves the prior owner with a cutoff in place of its table.
  void declareTableLost(PriorOwner &Owner, const ProcessId &Process,
                        Instant WallNow);
  void mergeCutoffs(const ClaimKnowledge &Added);
  /// \returns the epoch below which \p Process must be unable to start keys
  /// before its keys can be taken over.
  Epoch requiredFenceEpoch(const ProcessId &Process) const;
  /// \returns when this process first read the home set of epoch \p AtEpoch or
  /// of a later one, or Instant::never().
  Instant firstReadAt(Epoch AtEpoch) const;
  /// \returns true if \p Key may have run in \p Owner, whose table is lost.
  bool isCutOff(const ProcessId &Owner, const RequestKey &Key) const;

  ProcessId Self;
  ClaimOptions Options;
  ClaimActions &Actions;
  const ProcessExitDetector &ExitDetector;
  HomeSet Set;
  ClaimKnowledge Knowledge;
  std::map<ProcessId, PriorOwner> PriorOwners;
  std::map<ProcessId, Fence> Fences;
  /// The time at which this process first read each epoch.
  std::map<Epoch, Instant> EpochReadAt;
  std::vector<ProcessId> NewlyResolved;
  std::uint64_t Revision = 0;
};

} // namespace camphorpin

#endif
