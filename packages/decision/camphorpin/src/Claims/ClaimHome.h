#ifndef CAMPHORPIN_SRC_CLAIMS_CLAIMHOME_H
#define CAMPHORPIN_SRC_CLAIMS_CLAIMHOME_H

#include "camphorpin/Core.h"
#include "camphorpin/src/Claims/ClaimActions.h"
#include "camphorpin/src/Claims/ClaimOptions.h"
#include "camphorpin/src/Claims/ClaimTable.h"
#include "camphorpin/src/Claims/HomeSet.h"
#include "camphorpin/src/Claims/MirrorSync.h"
#include "camphorpin/src/Claims/PriorOwnerResolver.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace camphorpin {

/// \class ClaimHome
/// \brief The home role of this process: decides whether a key may run now.
///
/// The node calls onRequest() for each keyed, non-idempotent call that it
/// receives and gets the decision through ClaimActions::reportDecision(). After
/// the outcome Run it starts the request at once and calls finish(), fail() or
/// release() exactly once. A send with the outcome Join gets the answer of the
/// send that it joined. If that one is refused before it runs, each joined send
/// gets the refusalVerdict() of its own FirstSend.
///
/// The target of ClaimActions::sendClaim() may be this process itself, if it is
/// the mirror of a former home. Such a message must be delivered as well.
///
/// Bounds: ClaimOptions::MaxKeys keys (exceeded only by entries received from
/// former homes), MaxWaiting sends, MaxAnswerBytes bytes of answers.
class ClaimHome {
public:
  ClaimHome(const ProcessId &Self, const ClaimOptions &Options,
            ClaimActions &Actions, const ProcessExitDetector &ExitDetector,
            const Clock &Time);

  /// Applies a home set read from the log. An older set is ignored.
  void adopt(const HomeSet &Set);

  /// Records that the log was read, by this node or by another, and that its
  /// content has been applied.
  /// \param SentAt when the read request was sent, on the monotonic clock of
  /// this node. Everything appended before this time is known.
  void onLogRead(Instant SentAt);

  void onRequest(const ClaimSend &Send);

  /// Records that the request with \p Key ran to completion.
  /// \param Answer the stored answer. It is released through
  /// ClaimActions::dropAnswer(), possibly from within this call.
  /// \param Bytes the size of the answer.
  void finish(const RequestKey &Key, AnswerId Answer, std::size_t Bytes);

  /// Records that the request with \p Key may have run.
  void fail(const RequestKey &Key);

  /// Releases the claim: the request with \p Key has not run and will not. The
  /// verdict not-run is then correct, and a later send may run the key.
  void release(const RequestKey &Key);

  void onMessage(const CopyAnswer &Message);
  void onMessage(const SyncAnswer &Message);
  /// Handles requests to this process as a former home (LinkSince is 0).
  /// Requests to a mirror are handled by ClaimMirror.
  void onMessage(const ResolveRequest &Message);
  void onMessage(const ResolvePage &Message);
  void onMessage(const HandOverDone &Message);

  /// Resends unanswered messages and refuses sends whose deadline has passed.
  /// Must be called at least every ClaimOptions::ResendInterval.
  void tick();

  /// \returns true if this process is not a home and every home has received
  /// the entries of its keys, so that the node can exit without losing claims.
  bool mayLeave() const;

  /// \returns the verdict of a refusal by a node that does not know the history
  /// of the key. If this is not the first send, an earlier one may have run
  /// through another node.
  static Verdict refusalVerdict(bool FirstSend) {
    return FirstSend ? Verdict::NotRun : Verdict::MayHaveRun;
  }

  Epoch epoch() const { return Resolver.homes().epoch(); }
  const HomeSet &homes() const { return Resolver.homes(); }
  std::size_t keyCount() const { return Table.size(); }
  std::size_t waitingCount() const { return WaitingSends.size(); }
  std::size_t unresolvedPriorOwnerCount() const {
    return Resolver.unresolvedCount();
  }
  /// \returns true if the history of all keys of this home is known and the
  /// mirror is synchronized.
  bool settled() const;

private:
  struct WaitingSend {
    ClaimSend Send;
    /// The serial of the copy that is in flight to the mirror, if any.
    std::optional<std::uint64_t> Serial;
    Instant CopySentAt;
    /// Earliest time of the next attempt after the mirror rejected the copy.
    Instant RetryAt;
  };
  struct StoredAnswer {
    RequestKey Key;
    AnswerId Id = 0;
    std::size_t Cost = 0;
  };
  /// The result of the checks that precede a claim.
  enum class Check : std::uint8_t { Pass, Wait, Refused };

  void refuse(const ClaimSend &Send, Verdict Refusal, RefusalReason Reason);
  void run(const ClaimSend &Send, std::uint64_t Serial);
  void decideFromEntry(const ClaimSend &Send, const ClaimEntry &Entry);
  Check checkOrRefuse(const ClaimSend &Send);
  bool refuseByAge(const ClaimSend &Send);
  bool logIsSilent() const;
  /// Decides about the send if possible, or sends the copy to the mirror.
  /// \returns true if the send is decided and must no longer wait.
  bool tryDecide(WaitingSend &Waiting);
  void tryDecideKey(const RequestKey &Key);
  void syncKnowledge();
  void tryDecideAll();
  void sendCopy(WaitingSend &Waiting);
  /// Withdraws the copy that is in flight, if any. The key has not run.
  void withdraw(WaitingSend &Waiting);
  void expireWaiting();
  void resendCopies();
  void sendHandOverNotices();
  void evictAnswers();

  ProcessId Self;
  ClaimOptions Options;
  ClaimActions &Actions;
  const Clock &Time;
  ClaimTable Table;
  PriorOwnerResolver Resolver;
  MirrorSync Sync;
  std::optional<Instant> LatestLogReadSentAt;
  /// The newest epoch received from any sender.
  Epoch NewestSenderEpoch = 0;
  std::uint64_t LastSerial = 0;
  std::map<RequestKey, WaitingSend> WaitingSends;
  /// By serial, so the oldest answer comes first.
  std::map<std::uint64_t, StoredAnswer> Answers;
  std::size_t AnswerBytes = 0;
  /// Homes that have taken over keys from this process, with the epoch.
  std::map<ProcessId, Epoch> HandOverDoneEpochs;
  /// Former homes to be sent HandOverDone, with the number of sends left.
  std::map<ProcessId, std::uint8_t> PendingHandOverNotices;
  Instant HandOverNoticeSentAt;
  std::uint64_t SyncedRevision = 0;
};

} // namespace camphorpin

#endif
