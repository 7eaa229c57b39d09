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
/// \brief A key that must not run again.
struct TransferEntry {
  RequestKey Key;
  /// The key ran to its end; otherwise its outcome is unknown.
  bool Finished = false;
};

/// \class KeyCutoff
/// \brief The keys that a process ran are not known. A key that it may have
/// owned and that was created before the time may have run there.
struct KeyCutoff {
  ProcessId Process;
  /// Wall clock time at which the process could start nothing any more.
  Instant Time;
};

/// \class ClaimKnowledge
/// \brief What a table covers beside its entries.
struct ClaimKnowledge {
  /// Epochs in which the home knew the past of all its keys, newest first, at
  /// most MaxSettledEpochs.
  std::vector<Epoch> Settled;
  std::vector<KeyCutoff> Cutoffs;
};

/// \brief Older settled epochs are forgotten.
inline constexpr std::size_t MaxSettledEpochs = 4;

/// \class CopyClaim
/// \brief Home to mirror: the home wants to run a key.
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
/// \brief Mirror to home: the copy is kept, or the epoch is closed.
struct CopyAnswer {
  ProcessId Mirror;
  std::uint64_t Serial = 0;
  RequestKey Key;
  bool Accepted = false;
};

/// \class ReleaseClaim
/// \brief Home to mirror: the key of this claim has not run. Not answered; if
/// it is lost, the mirror answers may-have-run.
struct ReleaseClaim {
  ProcessId Home;
  std::uint64_t Serial = 0;
  RequestKey Key;
};

/// \class SyncPage
/// \brief Home to mirror: a part of the home's table.
struct SyncPage {
  ProcessId Home;
  camphorpin::Epoch Epoch = 0;
  camphorpin::Epoch LinkSince = 0;
  /// Increases with each transfer of the home.
  std::uint64_t SyncId = 0;
  std::uint32_t Page = 0;
  /// The last page of the transfer; only then Knowledge is set.
  bool Last = false;
  ClaimKnowledge Knowledge;
  std::vector<TransferEntry> Entries;
};

/// \class SyncAnswer
/// \brief Mirror to home: the page was kept, or the epoch is closed.
struct SyncAnswer {
  ProcessId Mirror;
  std::uint64_t SyncId = 0;
  std::uint32_t Page = 0;
  bool Accepted = false;
};

/// \class ResolveRequest
/// \brief New home to former home ("hand over") or to the mirror of the former
/// home ("close"): stop claims of epochs before Epoch, and send the entries of
/// keys that map to the requester in Epoch.
struct ResolveRequest {
  ProcessId Requester;
  /// The former home.
  ProcessId Home;
  camphorpin::Epoch Epoch = 0;
  /// MirrorLink::Since of the pair, or 0 if the former home itself is asked.
  camphorpin::Epoch LinkSince = 0;
  /// Only keys greater than this one are wanted.
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
  /// False if the mirror has closed the epoch but has no complete table for
  /// this pair; the mirror before it then decides.
  bool Complete = false;
  /// More entries follow the last one.
  bool More = false;
  ClaimKnowledge Knowledge;
  std::vector<TransferEntry> Entries;
};

/// \class HandOverDone
/// \brief New home to former home: the table has arrived and is copied.
struct HandOverDone {
  ProcessId Requester;
  camphorpin::Epoch Epoch = 0;
};

/// \brief Any message of this module. Each may be lost, repeated or reordered.
using ClaimMessage =
    std::variant<CopyClaim, CopyAnswer, ReleaseClaim, SyncPage, SyncAnswer,
                 ResolveRequest, ResolvePage, HandOverDone>;

} // namespace camphorpin

#endif
