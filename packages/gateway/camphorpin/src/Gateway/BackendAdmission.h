#ifndef CAMPHORPIN_SRC_GATEWAY_BACKENDADMISSION_H
#define CAMPHORPIN_SRC_GATEWAY_BACKENDADMISSION_H

#include "camphorpin/src/Gateway/CallFailure.h"
#include "camphorpin/src/Gateway/NestedCallDetector.h"
#include "camphorpin/src/Gateway/PeerMessages.h"
#include "camphorpin/src/Gateway/RouteLimiter.h"
#include "camphorpin/src/Gateway/SlotQueue.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphorpin {

/// \class AdmissionResult
/// \brief The admission decision for a call, and the reason if it is refused.
struct AdmissionResult {
  AdmissionChoice Choice = AdmissionChoice::Start;
  RefusalReason Reason = RefusalReason::None;
  /// Time after which a refused call may be retried.
  Duration RetryAfter;
};

/// \class BackendAdmission
/// \brief Admission control for the local backend server, independent of the
/// network.
///
/// Combines the queue for the server's slots with the limits on routes.
/// Attributes a failed run to a called service by correlating the outcomes of
/// runs with the failures of requests that started on this host.
class BackendAdmission {
public:
  /// \param Slots the requests that the backend server executes concurrently.
  void setSlots(std::uint32_t Slots) { Queue.setSlots(Slots); }

  /// The backend server has been replaced, or a new incarnation has started.
  /// Resets the failure rate and the slot limit. The service times are smoothed
  /// and adapt by themselves.
  void onNewBackend();

  /// Requests a slot. With AdmissionChoice::Start the call counts as running.
  AdmissionResult offer(const SlotRequest &Request, Instant Now);

  /// \returns the next queued call that may start; it counts as running.
  std::optional<SlotRequest> takeNext(Instant Now);

  /// Removes and returns the queued calls whose wait has expired. They still
  /// count towards the limits of their routes until abandon() is called.
  std::vector<SlotRequest> takeExpired(Instant Now);

  /// Removes and returns all queued calls. They still count towards the limits
  /// of their routes until abandon() is called.
  std::vector<SlotRequest> takeAll();

  /// The call was not executed, or its outcome carries no information.
  void abandon(std::uint64_t Id, Instant Now);

  /// The run has ended.
  /// \returns the reason why another backend server would fail as well, or
  /// None.
  RefusalReason end(std::uint64_t Id, const PeerAnswer &Answer, Instant Now);

  /// The run of the call \p Id has started with \p Deadline.
  void onRunStart(std::uint64_t Id, Instant Deadline) {
    NestedCalls.onRunStart(Id, Deadline);
  }

  /// A request of \p Route with \p Deadline starts on this host.
  /// \returns true if it is a nested call of the backend server.
  bool onOutboundRequest(const std::string &Route, Instant Deadline);

  /// A request that started on this host has failed.
  /// \param Nested the request is a nested call. Requests of callers carry no
  /// information about the runs. While no nested call has been detected, all
  /// requests count, unless there are so few per run that the runs evidently
  /// make no calls.
  void onOutboundFailure(bool Nested, CallFailure Cause, Instant Now);

  /// Periodic work, twice a second.
  void tick();

  /// \returns the status that is reported to the callers' nodes.
  BackendStatus status() const;

  std::size_t running() const { return Queue.running(); }
  std::size_t queued() const { return Queue.queued(); }
  std::uint32_t limit() const { return Queue.limit(); }
  Duration serviceTime(const std::string &Route) const {
    return Queue.serviceTime(Route);
  }

  /// \returns the expected wait of a new call of the least urgent rank.
  Duration estimatedWait() const { return Queue.estimatedWait(UINT8_MAX); }

  /// \returns the limit on active runs of \p Route, or 0 if it has none.
  double routeLimit(const std::string &Route) const {
    return Limiter.limit(Route);
  }

private:
  /// A queued or running call.
  struct AdmittedCall {
    std::string Route;
    /// Start of the run; the arrival while the call is queued.
    Instant Start;
  };

  /// \returns true if enough requests start on the host for the runs to make
  /// nested calls.
  bool runsMakeCalls() const;
  /// \returns what the duration of a run with this answer measures.
  DurationMeaning meaningOfDuration(const PeerAnswer &Answer) const;
  /// \returns true if the failure of a run is attributed to the backend server.
  /// \param Cause the failure of a dependency, or None.
  static bool isBackendFailure(const PeerAnswer &Answer, RefusalReason Cause);
  RunOutcome outcomeOf(const AdmittedCall &Run, const PeerAnswer &Answer) const;
  /// \returns the reason why a called service makes the run fail on any backend
  /// server, or None.
  RefusalReason dependencyFailureReason(const AdmittedCall &Run,
                                        const PeerAnswer &Answer,
                                        RunOutcome Outcome) const;

  SlotQueue Queue;
  RouteLimiter Limiter;
  NestedCallDetector NestedCalls;
  /// Queued and running calls.
  std::map<std::uint64_t, AdmittedCall> Calls;
  /// Times of the latest outbound requests that failed because the called
  /// service was overloaded or unavailable.
  Instant LastOverload;
  Instant LastUnavailable;
  /// Exponentially decaying counts of the requests that start on the host and
  /// of the runs.
  double RecentOutbound = 0;
  double RecentRuns = 0;
  /// Smoothed fraction of the runs that the backend server refused, lost or
  /// failed.
  double FailureRate = 0;
};

} // namespace camphorpin

#endif
