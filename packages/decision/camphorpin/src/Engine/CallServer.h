#ifndef CAMPHORPIN_SRC_ENGINE_CALLSERVER_H
#define CAMPHORPIN_SRC_ENGINE_CALLSERVER_H

#include "camphorpin/Admission.h"
#include "camphorpin/Crash.h"
#include "camphorpin/Retry.h"
#include "camphorpin/src/Engine/Actions.h"
#include "camphorpin/src/Engine/AnswerTracker.h"
#include "camphorpin/src/Engine/ClaimManager.h"
#include "camphorpin/src/Engine/DeadlineQueue.h"
#include "camphorpin/src/Engine/NestedCall.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace camphorpin::detail {

/// \class CallServer
/// \brief Serves the calls that other nodes send to the local backend server.
///
/// A non-idempotent call is claimed first, because only the home knows whether
/// its key has run. After that it passes admission control like any other call.
/// A call that is refused before it runs releases its claim.
class CallServer final : private AdmissionListener, private ClaimListener {
public:
  /// \param Out, Answers, Guard, Members and Time must outlive the server.
  CallServer(const ServiceName &Service, Actions &Out, AnswerTracker &Answers,
             CrashGuard &Guard, const MemberDirectory &Members,
             const Clock &Time);

  /// Applies the policies. Calls are refused until policies have been applied
  /// once. Later policies do not change the options of the claim manager.
  void applyPolicy(const MeshPolicy &Mesh, const ServicePolicy &Policy);

  /// Discards all claims and starts anew, after the node has taken another
  /// identity.
  void resetClaims();

  /// Accepts a call. Exactly one answer follows, possibly from within this
  /// function.
  void accept(RequestId Id, const RequestContext &Context);

  /// Handles the end of a run. An unknown or repeated id is ignored.
  void endRun(RequestId Id, const BackendResult &Result);

  /// Cancels a call whose sender no longer waits for the answer.
  void cancel(RequestId Id);

  void adopt(const HomeSet &Set);
  /// Reports that this node has applied everything that was appended to the
  /// platform's log before \p AsOf.
  void onLogUpToDate(Instant AsOf);
  void onClaimMessage(const ProcessId &To, const ClaimMessage &Message);

  void tick(Instant Now);

  /// Begins a nested call of the running request \p Parent. If a value is
  /// returned, endNestedCall() must be called later.
  /// \returns what the nested call inherits, or nothing if the request is not
  /// running or has made too many calls.
  std::optional<NestedCall> beginNestedCall(RequestId Parent,
                                            const std::string &Target,
                                            const std::string &Step);

  /// Ends a nested call that beginNestedCall() allowed.
  void endNestedCall(const NestedCallOutcome &Outcome);

  Instant nextDeadline() const { return Deadlines.next(); }
  std::size_t inProgress() const { return Calls.size(); }

  /// \returns true if the node may exit without losing claims. A node that has
  /// never read a home set holds no claims.
  bool mayExit() const {
    return !Claims || Homes.epoch() == 0 || Claims->mayExit();
  }

  /// \returns true if a home set of the service has been read or none is
  /// needed.
  bool hasHomeSet() const { return Service.empty() || Homes.epoch() > 0; }

  /// \returns the claim manager, or null before a policy has been applied.
  const ClaimManager *claims() const { return Claims.get(); }
  const AdmissionController *admission() const { return Admission.get(); }

private:
  enum class Phase : std::uint8_t { Claiming, Joined, Queued, Running };

  struct Call {
    RequestContext Context;
    Instant Arrived;
    Instant Deadline;
    Phase State = Phase::Claiming;
    /// When the run on the backend server started.
    Instant StartedAt;
    /// The claim is held and must be finished, failed or released.
    bool Claimed = false;
    /// The reason to report instead of that from admission control. None keeps
    /// the reason from admission control.
    RefusalReason RefusalOverride = RefusalReason::None;
    NestedCallTracker NestedCalls;
  };
  using CallIterator = std::unordered_map<RequestId, Call>::iterator;

  /// A decision of admission control about a call.
  struct AdmissionDecision {
    enum class Kind : std::uint8_t { Start, Refuse, Cancel };
    Kind Action = Kind::Start;
    RequestId Id{};
    RefusalReason Reason = RefusalReason::None;
  };

  void start(std::uint64_t Id) override;
  void refuse(std::uint64_t Id, RefusalReason Reason) override;
  void cancelRunning(std::uint64_t Id) override;
  void claimDecided(RequestId Id, const ClaimDecision &Decision) override;

  /// Applies the queued decisions of admission control until none is left.
  /// Decisions are queued because admission control must not be called from
  /// within its own callbacks.
  void applyDecisions();
  void run(CallIterator Entry);
  void admit(CallIterator Entry);
  void refuseBeforeRun(CallIterator Entry, RefusalReason Reason);
  void answerJoined(const RequestKey &Key, const Answer &Value);
  void removeJoined(const RequestKey &Key, RequestId Id);
  void answerWithoutRun(CallIterator Entry, const Answer &Value);
  void resolveClaim(CallIterator Entry, const BackendResult &Result);
  /// Detects crashes and the recovery of the backend server.
  /// \param StartedAt when the run that has ended was started.
  void updateBackendState(const BackendResult &Result, Instant StartedAt);
  void expire(CallIterator Entry);
  void erase(CallIterator Entry);

  ServiceName Service;
  Actions &Out;
  AnswerTracker &Answers;
  CrashGuard &Guard;
  const MemberDirectory &Members;
  const Clock &Time;
  std::unique_ptr<AdmissionController> Admission;
  std::unique_ptr<ClaimManager> Claims;
  ClaimOptions ClaimConfig;
  HomeSet Homes;
  std::optional<Instant> LogUpToDateAsOf;
  std::unordered_map<RequestId, Call> Calls;
  std::map<RequestKey, std::vector<RequestId>> Joined;
  DeadlineQueue Deadlines;
  std::deque<AdmissionDecision> PendingDecisions;
  bool ApplyingDecisions = false;
  /// The backend server has crashed and no run has completed since.
  bool BackendDown = false;
  Instant CrashedAt;
  Instant NextMemberUpdate;
};

} // namespace camphorpin::detail

#endif
