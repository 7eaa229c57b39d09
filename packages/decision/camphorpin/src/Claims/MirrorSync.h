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
/// \brief Replicates the table of a home to its mirror: sends the full table to
/// a new mirror, and later the entries that the home receives from other homes.
///
/// Only one page is in flight at a time, so that the mirror always has a prefix
/// of the transfer. The metadata in ClaimKnowledge is sent with the last page
/// and therefore never covers more than the transferred entries.
class MirrorSync {
public:
  MirrorSync(const ProcessId &Self, const ClaimOptions &Options,
             ClaimActions &Actions, const ClaimTable &Table)
      : Self(Self), Options(Options), Actions(Actions), Table(Table) {}

  /// Sets the mirror of the home in epoch \p NewEpoch. A new pair starts with
  /// the full table, and so does one whose first transfer is unfinished. Later
  /// entries that are in flight are sent again in the new epoch.
  void setMirror(const MirrorLink &NewLink, Epoch NewEpoch);

  /// Queues \p Entries, which were received from another home.
  void enqueue(std::span<const TransferEntry> Entries);

  /// Sets the metadata to send after all queued entries.
  void setKnowledge(const ClaimKnowledge &NewKnowledge);

  void onMessage(const SyncAnswer &Message, Instant Now);

  /// Starts a transfer, or resends the page that is in flight.
  void tick(Instant Now);

  /// \returns true if the mirror has the full table or there is no mirror.
  bool ready() const;

  /// \returns true if ready() and nothing is queued or in flight.
  bool idle() const;

  const MirrorLink &link() const { return Link; }

private:
  /// Starts a new transfer if there is unsent data.
  void sendNext(Instant Now);
  /// Moves the next entries of the table and of the queue to InFlight.
  void fillPage();
  /// Sends or resends the page in InFlight.
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
  /// All pages of the full table have been filled; the last one may still be in
  /// flight.
  bool FullTableSent = false;
  /// The mirror has acknowledged the last page of a transfer of this pair.
  bool Ready = false;
  bool KnowledgeChanged = false;
  /// The mirror rejected the epoch; nothing is sent until the next epoch.
  bool EpochRejected = false;
  /// The last key of the full table that has been put into a page.
  RequestKey Cursor;
  std::uint64_t LastSyncId = 0;
  std::deque<TransferEntry> Queue;
  ClaimKnowledge Knowledge;
  std::optional<SyncPage> InFlight;
  Instant SentAt;
};

} // namespace camphorpin

#endif
