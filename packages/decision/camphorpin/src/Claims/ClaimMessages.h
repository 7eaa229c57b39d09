#ifndef CAMPHORPIN_SRC_CLAIMS_CLAIMMESSAGES_H
#define CAMPHORPIN_SRC_CLAIMS_CLAIMMESSAGES_H

#include "camphorpin/Core.h"
#include "camphorpin/src/Claims/HomeSet.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace camphorpin {

/// \class TransferEntry
/// \brief A key that must not run again, as sent between processes.
struct TransferEntry {
  RequestKey Key;
  /// True if the key ran to completion; otherwise its outcome is unknown.
  bool Finished = false;
};

/// \class KeyCutoff
/// \brief Stands for the lost table of a process: a key that the process may
/// have owned and that was created before the cutoff may have run there.
struct KeyCutoff {
  ProcessId Process;
  /// Wall clock time from which on the process cannot start any key.
  Instant Time;
};

/// \class ClaimKnowledge
/// \brief Metadata of a table: how far back its entries are complete.
struct ClaimKnowledge {
  /// Epochs in which the home knew the history of all its keys (settled
  /// epochs), newest first, at most MaxSettledEpochs.
  std::vector<Epoch> Settled;
  std::vector<KeyCutoff> Cutoffs;
};

/// \brief Maximum number of settled epochs kept; older ones are discarded.
inline constexpr std::size_t MaxSettledEpochs = 4;

/// \class CopyClaim
/// \brief Home to mirror: copy of a claim. The home waits for CopyAnswer before
/// it runs the key.
struct CopyClaim {
  ProcessId Home;
  camphorpin::Epoch Epoch = 0;
  /// MirrorLink::Since of the pair.
  camphorpin::Epoch LinkSince = 0;
  /// Increases with each claim of the home.
  std::uint64_t Serial = 0;
  RequestKey Key;
};

/// \class CopyAnswer
/// \brief Mirror to home: the copy was stored, or it was rejected because the
/// home is fenced in this epoch, or the table is incomplete or full.
struct CopyAnswer {
  ProcessId Mirror;
  std::uint64_t Serial = 0;
  RequestKey Key;
  bool Accepted = false;
};

/// \class ReleaseClaim
/// \brief Home to mirror: the key of this claim has not run. Not acknowledged;
/// if it is lost, the mirror keeps the key as one that may have run.
struct ReleaseClaim {
  ProcessId Home;
  std::uint64_t Serial = 0;
  RequestKey Key;
};

/// \class SyncPage
/// \brief Home to mirror: one page of the home's table.
struct SyncPage {
  ProcessId Home;
  camphorpin::Epoch Epoch = 0;
  camphorpin::Epoch LinkSince = 0;
  /// Increases with each transfer of the home.
  std::uint64_t SyncId = 0;
  std::uint32_t Page = 0;
  /// True for the last page of the transfer. Only that page has Knowledge.
  bool Last = false;
  ClaimKnowledge Knowledge;
  std::vector<TransferEntry> Entries;
};

/// \class SyncAnswer
/// \brief Mirror to home: the page was stored, or it was rejected because the
/// home is fenced in this epoch.
struct SyncAnswer {
  ProcessId Mirror;
  std::uint64_t SyncId = 0;
  std::uint32_t Page = 0;
  bool Accepted = false;
};

/// \class ResolveRequest
/// \brief New home to prior owner (hand-over) or to the mirror of the prior
/// owner (fencing): reject claims of epochs before Epoch, and send the entries
/// of the keys that belong to the requester in Epoch. A prior owner may still
/// be a home of other keys.
struct ResolveRequest {
  ProcessId Requester;
  /// The prior owner.
  ProcessId Home;
  camphorpin::Epoch Epoch = 0;
  /// MirrorLink::Since of the pair, or 0 if sent to the prior owner itself.
  camphorpin::Epoch LinkSince = 0;
  /// Only keys greater than this one are requested.
  RequestKey After;
};

/// \class ResolvePage
/// \brief Answer to ResolveRequest.
struct ResolvePage {
  ProcessId Home;
  camphorpin::Epoch Epoch = 0;
  camphorpin::Epoch LinkSince = 0;
  /// As in the request.
  RequestKey After;
  /// False if the mirror has fenced the home but has no complete table of this
  /// pair. The requester then queries the previous mirror.
  bool Complete = false;
  /// More entries follow the last one.
  bool More = false;
  ClaimKnowledge Knowledge;
  std::vector<TransferEntry> Entries;
};

/// \class HandOverDone
/// \brief New home to former home: the entries were received and copied to the
/// mirror.
struct HandOverDone {
  ProcessId Requester;
  camphorpin::Epoch Epoch = 0;
};

/// \brief Any message of the claim protocol. Messages may be lost, duplicated
/// or reordered.
using ClaimMessage =
    std::variant<CopyClaim, CopyAnswer, ReleaseClaim, SyncPage, SyncAnswer,
                 ResolveRequest, ResolvePage, HandOverDone>;

} // namespace camphorpin

#endif
