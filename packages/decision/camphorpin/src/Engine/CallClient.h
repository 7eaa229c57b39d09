#ifndef CAMPHORPIN_SRC_ENGINE_CALLCLIENT_H
#define CAMPHORPIN_SRC_ENGINE_CALLCLIENT_H

#include "camphorpin/Admission.h"
#include "camphorpin/Crash.h"
#include "camphorpin/Retry.h"
#include "camphorpin/src/Engine/Actions.h"
#include "camphorpin/src/Engine/AnswerTracker.h"
#include "camphorpin/src/Engine/CallServer.h"
#include "camphorpin/src/Engine/DeadlineQueue.h"
#include "camphorpin/src/Engine/MemberDirectory.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace camphorpin::detail {

/// \class RequestOrigin
/// \brief The origin of a request.
struct RequestOrigin {
  /// The running request that makes the call, if any.
  std::optional<RequestId> Parent;
  /// The sender may send the same key again, so concurrent sends of the key
  /// must be joined.
  bool MayBeResent = false;
};

/// \class CallClient
/// \brief Sends the requests that entered the mesh at this node to other nodes.
class CallClient {
public:
  CallClient(Actions &Out, AnswerTracker &Answers, MemberDirectory &Peers,
             CallServer &Server, const CrashGuard &Guard)
      : Out(Out), Answers(Answers), Peers(Peers), Server(Server), Guard(Guard),
        Coalescer(MaxKeys, MaxJoined) {}

  /// Applies the mesh policy.
  void applyPolicy(const MeshPolicy &Mesh) {
    ConfiguredRetryRatio = Mesh.RetryRatio;
  }

  /// Applies a home set. Non-idempotent requests are sent to the home of their
  /// key.
  void adopt(const ServiceName &Service, const HomeSet &Set);

  /// Sends a request to a node beside a backend server of its service. Exactly
  /// one answer follows, possibly from within this call.
  void start(RequestId Id, const RequestContext &Context,
             const RequestOrigin &Origin, Instant Now);

  /// Handles the end of a call. An unknown or repeated id is ignored.
  void callDone(CallId Call, const CallResult &Result, Instant Now);

  /// Cancels a request whose sender no longer waits for the answer.
  void cancel(RequestId Id, Instant Now);

  /// Starts the scheduled attempts that are due and answers the requests whose
  /// deadline has passed.
  void tick(Instant Now);

  /// \returns the epoch of the known home set of a service, or 0.
  Epoch homeEpoch(const ServiceName &Service) const;

  /// \returns the least urgent rank that an operation is known to accept.
  Rank lowestAccepted(const CallTarget &Target, Instant Now) const {
    return Shedder.level(Target, Now);
  }

  Instant nextDeadline() const;
  std::size_t inProgress() const { return Requests.size(); }

private:
  /// Bounds of the table of joined sends.
  static constexpr std::size_t MaxKeys = 16384;
  static constexpr std::size_t MaxJoined = 16;

  struct Request {
    RequestContext Context;
    RequestOrigin Origin;
    Instant Arrived;
    Instant Deadline;
    AttemptBudget Budget{0};
    /// This send waits for the answer to another send of the same key.
    bool Joined = false;
    /// Any attempt of this node so far may have run.
    bool AnyAttemptMayHaveRun = false;
    /// The call in flight, or none during the backoff before an attempt.
    std::optional<CallId> Call;
    ProcessId Target;
    Instant SentAt;
    /// Extra attempts that were passed on with the call in flight.
    std::uint8_t AllocatedAttempts = 0;
    std::uint32_t Attempts = 0;
    /// Nodes that failed or refused the request. Further attempts of an
    /// idempotent request avoid them.
    std::vector<ProcessId> Excluded;
  };

  struct ScheduledAttempt {
    Instant Time;
    RequestId Id{};
    auto operator<=>(const ScheduledAttempt &) const = default;
  };

  using RequestIterator = std::unordered_map<RequestId, Request>::iterator;

  std::optional<ProcessId> chooseTarget(Request &Pending, Instant Now);
  void attempt(RequestIterator Entry, Instant Now);
  void scheduleAttempt(RequestIterator Entry, Instant Now);
  void send(RequestIterator Entry, const ProcessId &Target, Instant Now);
  void handleFailure(RequestIterator Entry, const CallResult &Result,
                     Instant Now);
  bool shouldRetry(Request &Pending, const CallResult &Result, Instant Now);
  void recordResult(const Request &Pending, const CallResult &Result,
                    Instant Now);
  void abort(RequestId Id, RefusalReason Reason, Instant Now);
  /// Answers a request and the requests that joined it.
  void finish(RequestIterator Entry, Answer Value);
  /// Answers one request and erases it.
  void answerAndErase(RequestIterator Entry, const Answer &Value);
  RetryThrottle &retryThrottle(const ServiceName &Service);

  Actions &Out;
  AnswerTracker &Answers;
  MemberDirectory &Peers;
  CallServer &Server;
  const CrashGuard &Guard;
  UpstreamShedder Shedder;
  RequestCoalescer Coalescer;
  double ConfiguredRetryRatio = 0.1;
  /// One throttle for each service that was called; bounded by the policy
  /// documents.
  std::map<ServiceName, RetryThrottle> RetryThrottles;
  std::map<ServiceName, HomeSet> Homes;
  std::unordered_map<RequestId, Request> Requests;
  std::unordered_map<CallId, RequestId> Calls;
  std::set<ScheduledAttempt> ScheduledAttempts;
  DeadlineQueue Deadlines;
  std::uint64_t LastCall = 0;
};

} // namespace camphorpin::detail

#endif
