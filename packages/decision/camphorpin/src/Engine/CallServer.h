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
/// \brief The calls that other nodes sent to the local backend server.
///
/// A non-idempotent call is claimed first, because only the home knows whether
/// its key ran before; then it is admitted like any other. A call that is
/// refused before it runs gives its claim back.
class CallServer final : private AdmissionListener, private ClaimListener {
public:
  /// \param Out, Answers, Guard, Members and Time must outlive the server.
  CallServer(const ServiceName &Service, Actions &Out, AnswerTracker &Answers,
             CrashGuard &Guard, const MemberDirectory &Members,
             const Clock &Time);

  /// Adopts policies. Calls are accepted once this was called.
  void applyPolicy(const MeshPolicy &Mesh, const ServicePolicy &Policy);

  /// The node has got another identity and starts its claims anew.
  void resetClaims();

  /// Takes a call. It is answered now or later, exactly once.
  void accept(RequestId Id, const RequestContext &Context);

  /// The run has ended. An unknown or repeated id is ignored.
  void endRun(RequestId Id, const BackendResult &Result);

  /// Nobody waits for the answer any longer.
  void cancel(RequestId Id);

  void adopt(const HomeSet &Set);
  void onLogRead(Instant SentAt);
  void onClaimMessage(const ProcessId &To, const ClaimMessage &Message);

  void tick(Instant Now);

  /// \returns what a call made by the running request \p Parent inherits, or
  /// nothing if that request does not run. endNestedCall() must follow.
  std::optional<NestedCall> beginNestedCall(RequestId Parent,
                                            const std::string &Target,
                                            const std::string &Step);

  /// A call that beginNestedCall() allowed has ended.
  void endNestedCall(const NestedCallOutcome &Outcome);

  Instant nextDeadline() const { return Deadlines.next(); }
  std::size_t inProgress() const { return Calls.size(); }

  /// \returns true if the node may exit without loss of knowledge. A node that
  /// never read a home set has claimed nothing.
  bool mayLeave() const {
    return !Claims || Homes.epoch() == 0 || Claims->mayLeave();
  }

  /// \returns true if a home set of the service was read, or none is needed.
  bool hasHomeSet() const { return Service.empty() || Homes.epoch() > 0; }

  /// \returns the claims, or null before a policy is known.
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
    /// Overrides the reason of a refusal by admission control.
    RefusalReason RefusalOverride = RefusalReason::None;
    NestedCallTracker NestedCalls;
  };
  using CallIterator = std::unordered_map<RequestId, Call>::iterator;

  /// Action admission control decided about a call.
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

  /// Carries out what admission control decided, until nothing is left. It must
  /// not be called back from within its decisions.
  void applyDecisions();
  void run(CallIterator Entry);
  void admit(CallIterator Entry);
  void refuseBeforeRun(CallIterator Entry, RefusalReason Reason);
  void answerJoined(const RequestKey &Key, const Answer &Value);
  void removeJoined(const RequestKey &Key, RequestId Id);
  void answerWithoutRun(CallIterator Entry, const Answer &Value);
  void resolveClaim(CallIterator Entry, const BackendResult &Result);
  /// \param StartedAt when the run that ended was started.
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
  ClaimOptions Limits;
  HomeSet Homes;
  std::optional<Instant> LogReadAt;
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
