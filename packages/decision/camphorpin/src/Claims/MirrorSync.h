#ifndef CAMPHORPIN_SRC_CLAIMS_MIRRORSYNC_H
#define CAMPHORPIN_SRC_CLAIMS_MIRRORSYNC_H

#include "camphorpin/Core.h"
#include "camphorpin/src/Claims/ClaimActions.h"
#include "camphorpin/src/Claims/ClaimOptions.h"
#include "camphorpin/src/Claims/ClaimTable.h"
#include "camphorpin/src/Claims/HomeSet.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>

namespace camphorpin {

/// \class MirrorSync
/// \brief The home's side of the pair of home and mirror: sends the whole table
/// to a new mirror and later the entries that the home takes over from others.
///
/// Pages go one at a time, so that the mirror always has a prefix. The
/// knowledge is in the last page and therefore never ahead of the entries.
class MirrorSync {
public:
  MirrorSync(const ProcessId &Self, const ClaimOptions &Options,
             ClaimActions &Actions, const ClaimTable &Table)
      : Self(Self), Options(Options), Actions(Actions), Table(Table) {}

  /// The home is in epoch \p NewEpoch with this mirror. A new pair starts with
  /// the whole table; an unfinished transfer starts again in the new epoch.
  void setMirror(const MirrorLink &NewLink, Epoch NewEpoch);

  /// \p Entries were added to the table from another home.
  void enqueue(std::span<const TransferEntry> Entries);

  /// Sends \p Value after all added entries.
  void setKnowledge(const ClaimKnowledge &NewKnowledge);

  void onMessage(const SyncAnswer &Message, Instant Now);

  /// Starts or repeats a transfer.
  void tick(Instant Now);

  /// \returns true if the mirror has the whole table, or there is none.
  bool ready() const;

  /// \returns true if the mirror also has all that was added later.
  bool idle() const;

  const MirrorLink &link() const { return Link; }

private:
  void sendNext(Instant Now);
  void fillPage();
  void transmit(Instant Now);
  bool hasUnsentData() const {
    return !FullTableSent || !Queue.empty() || KnowledgeChanged;
  }

  ProcessId Self;
  ClaimOptions Options;
  ClaimActions &Actions;
  const ClaimTable &Table;
  MirrorLink Link;
  Epoch CurrentEpoch = 0;
  /// The pages of the whole table have all been acknowledged.
  bool FullTableSent = false;
  /// The mirror has acknowledged a last page of this pair.
  bool Ready = false;
  bool KnowledgeChanged = false;
  /// The mirror refused the epoch; nothing is sent before the next one.
  bool EpochRejected = false;
  RequestKey Cursor;
  std::uint64_t LastSyncId = 0;
  std::deque<TransferEntry> Queue;
  ClaimKnowledge Knowledge;
  std::optional<SyncPage> InFlight;
  Instant SentAt;
};

} // namespace camphorpin

#endif
