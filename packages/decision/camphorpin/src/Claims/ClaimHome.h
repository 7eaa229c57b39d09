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
/// A key runs when the request with this key is executed.
///
/// The node calls onRequest() for each keyed, non-idempotent call that it
/// receives and gets the decision through ClaimActions::reportDecision(). After
/// the outcome Run it starts the request at once and calls finish(), fail() or
/// release() exactly once. A send with the outcome Join gets the answer of the
/// send that it joined. If that one is refused before it runs, each joined send
/// gets the refusalVerdict() of its own FirstSend.
///
/// The target of ClaimActions::sendClaim() may be this process itself, if it is
/// the mirror of a prior owner. Such a message must be delivered as well.
///
/// Bounds: ClaimOptions::MaxKeys keys (exceeded only by entries received from
/// prior owners), MaxWaiting sends, MaxAnswerBytes bytes of answers.
class ClaimHome {
public:
  ClaimHome(const ProcessId &Self, const ClaimOptions &Options,
            ClaimActions &Actions, const ProcessExitDetector &ExitDetector,
            const Clock &Time);

  /// Applies a home set read from the log. An older set is ignored.
  void adopt(const HomeSet &Set);

  /// Records that the log was read and that its content has been applied. The
  /// log may have been read by another node that passed its content on.
  /// \param SentAt when the read request was sent, on the monotonic clock of
  /// this node. Everything appended before this time is known. For a read by
  /// another node it is when that node was queried, minus the age of the read
  /// that it reported.
  void onLogRead(Instant SentAt);

  /// Handles a received request: reports the decision at once, or later if the
  /// history of the key is not known yet or the mirror has to store a copy.
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
  /// Handles requests to this process as a prior owner (LinkSince is 0).
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
    /// When the copy was last sent to the mirror.
    Instant CopySentAt;
    /// Earliest time of the next attempt after the mirror rejected the copy.
    Instant RetryAt;
  };
  struct StoredAnswer {
    RequestKey Key;
    AnswerId Id = 0;
    /// Counted against ClaimOptions::MaxAnswerBytes: the size of the answer and
    /// a constant overhead.
    std::size_t Cost = 0;
  };
  /// The result of the checks that precede a claim.
  enum class Check : std::uint8_t { Pass, Wait, Refused };

  void refuse(const ClaimSend &Send, Verdict Refusal, RefusalReason Reason);
  void run(const ClaimSend &Send, std::uint64_t Serial);
  void decideFromEntry(const ClaimSend &Send, const ClaimEntry &Entry);
  /// Checks whether the key may be claimed. If the result is Refused, the
  /// refusal has been reported.
  Check checkOrRefuse(const ClaimSend &Send);
  /// Refuses the send if its key is too old, or if its creation time is more
  /// than MaxClockSkew ahead of the wall clock. \returns true if refused.
  bool refuseByAge(const ClaimSend &Send);
  /// \returns true if the log has not been read within the log silence bound.
  bool logIsSilent() const;
  /// Decides about the send if possible, or sends the copy to the mirror.
  /// \returns true if the send is decided and must no longer wait.
  bool tryDecide(WaitingSend &Waiting);
  /// Calls tryDecide() for the waiting send of \p Key, if any.
  void tryDecideKey(const RequestKey &Key);
  /// Passes changed metadata on to the mirror.
  void syncKnowledge();
  /// Calls tryDecide() for all waiting sends without a copy in flight.
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
  /// The latest time passed to onLogRead().
  std::optional<Instant> LatestLogReadSentAt;
  /// The newest epoch received from any sender.
  Epoch NewestSenderEpoch = 0;
  std::uint64_t LastSerial = 0;
  std::map<RequestKey, WaitingSend> WaitingSends;
  /// By the serial of the claim, so the answer of the oldest claim comes first.
  std::map<std::uint64_t, StoredAnswer> Answers;
  std::size_t AnswerBytes = 0;
  /// Homes that have taken over keys from this process, with the newest epoch
  /// for which HandOverDone was received.
  std::map<ProcessId, Epoch> HandOverDoneEpochs;
  /// Former homes to be sent HandOverDone, with the number of sends left.
  std::map<ProcessId, std::uint8_t> PendingHandOverNotices;
  Instant HandOverNoticeSentAt;
  std::uint64_t SyncedRevision = 0;
};

} // namespace camphorpin

#endif
