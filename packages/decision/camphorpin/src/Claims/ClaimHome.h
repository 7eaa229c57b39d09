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
/// \brief Decides for this process, as a home of its service, whether a key may
/// run now.
///
/// Usage by the node: onSend() for each keyed, non-idempotent call that arrives
/// at this node; the decision comes through ClaimActions::decided(). After the
/// outcome Run the node starts the work at once and reports finish(), fail() or
/// release() exactly once. Sends with the outcome Join get the same answer,
/// but when the other send is refused before it runs, each gets the
/// refusalVerdict() of its own FirstSend.
///
/// ClaimActions::sendClaim() may name this process itself, when it is the
/// mirror of a former home; the message is then to be delivered like any other.
///
/// Bounds: ClaimOptions::MaxKeys keys (more only while tables of former homes
/// arrive), MaxWaiting sends, MaxAnswerBytes of answers.
class ClaimHome {
public:
  ClaimHome(const ProcessId &Self, const ClaimOptions &Options,
            ClaimActions &Actions, const ProcessExitDetector &ExitDetector,
            const Clock &Time);

  /// Takes over a home set from the log; older ones are ignored.
  void adopt(const HomeSet &Set);

  /// The log was read, by this node or by another, and what was read has been
  /// adopted.
  /// \param SentAt a time on this node's monotonic clock before the log
  /// answered, so that everything appended before it is known.
  void onLogRead(Instant SentAt);

  void onSend(const ClaimSend &Send);

  /// The work of \p Key ran to its end.
  /// \param Answer the stored answer; it is dropped through
  /// ClaimActions::dropAnswer(), possibly within this call.
  void finish(const RequestKey &Key, AnswerId Answer, std::size_t Bytes);

  /// The work of \p Key may have run.
  void fail(const RequestKey &Key);

  /// The work of \p Key has not run and will not; the verdict not-run holds for
  /// the key, and a later send may run it.
  void release(const RequestKey &Key);

  void onMessage(const CopyAnswer &Message);
  void onMessage(const SyncAnswer &Message);
  /// Handles requests to a former home itself (LinkSince 0); others belong to
  /// ClaimMirror.
  void onMessage(const ResolveRequest &Message);
  void onMessage(const ResolvePage &Message);
  void onMessage(const HandOverDone &Message);

  /// Repeats messages and refuses sends whose deadline has passed; to be called
  /// at least every ClaimOptions::ResendInterval.
  void tick();

  /// \returns true if this process is no home, and every home has the entries
  /// of its keys. The node may then exit without loss of knowledge.
  bool mayLeave() const;

  /// \returns the verdict of a refusal by a node that does not know the past of
  /// the key. An earlier send may have run through another node.
  static Verdict refusalVerdict(bool FirstSend) {
    return FirstSend ? Verdict::NotRun : Verdict::MayHaveRun;
  }

  Epoch epoch() const { return Resolver.homes().epoch(); }
  const HomeSet &homes() const { return Resolver.homes(); }
  std::size_t keys() const { return Table.size(); }
  std::size_t waiting() const { return WaitingSends.size(); }
  std::size_t unresolvedPriorOwners() const { return Resolver.unresolved(); }
  /// \returns true if all keys of this home may run, as far as the home and its
  /// mirror are concerned.
  bool settled() const;

private:
  struct WaitingSend {
    ClaimSend Send;
    /// Set while the copy is on the way to the mirror.
    std::optional<std::uint64_t> Serial;
    Instant SentAt;
    /// The mirror refused the copy; there is no new attempt before this time.
    Instant RetryAt;
  };
  struct StoredAnswer {
    RequestKey Key;
    AnswerId Id = 0;
    std::size_t Bytes = 0;
  };
  /// What the checks say about a send.
  enum class Check : std::uint8_t { Pass, Wait, Refused };

  void refuse(const ClaimSend &Send, Verdict Value, RefusalReason Reason);
  void run(const ClaimSend &Send, std::uint64_t Serial);
  void decideFromEntry(const ClaimSend &Send, const ClaimEntry &Entry);
  Check check(const ClaimSend &Send);
  bool refuseByAge(const ClaimSend &Send);
  bool logIsSilent() const;
  /// Decides about the send if that is possible now, or sends the copy.
  /// \returns true if the send is decided and must be forgotten.
  bool advance(WaitingSend &Waiting);
  void advanceKey(const RequestKey &Key);
  void syncKnowledge();
  void advanceAll();
  void sendCopy(WaitingSend &Waiting);
  /// Takes back a copy that is on the way. The key does not run.
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
  std::optional<Instant> LogReadAt;
  /// The newest epoch that any sender named.
  Epoch NewestSenderEpoch = 0;
  std::uint64_t LastSerial = 0;
  std::map<RequestKey, WaitingSend> WaitingSends;
  /// In the order of their serials.
  std::map<std::uint64_t, StoredAnswer> Answers;
  std::size_t AnswerBytes = 0;
  /// Homes that have taken over from this process, with the epoch.
  std::map<ProcessId, Epoch> HandOverDoneEpochs;
  /// Former homes to be told, with the number of messages left.
  std::map<ProcessId, std::uint8_t> PendingHandOverNotices;
  Instant HandOverNoticeSentAt;
  std::uint64_t SyncedRevision = 0;
};

} // namespace camphorpin

#endif
