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
/// \brief What becomes of a call at the gate, and why it is refused.
struct AdmissionResult {
  AdmissionChoice Choice = AdmissionChoice::Start;
  RefusalReason Reason = RefusalReason::None;
  /// When a refused call may come back.
  Duration RetryAfter;
};

/// \class BackendAdmission
/// \brief The decisions of the node beside a backend server, without a network.
///
/// Joins the queue in front of the slots with the bounds of routes, and tells
/// from the ends of runs and of calls that began on the host whether a run
/// failed for a service that it called.
class BackendAdmission {
public:
  /// \param Slots the requests that the backend server runs at the same time.
  void setSlots(std::uint32_t Slots) { Queue.setSlots(Slots); }

  /// Another backend server, or a new incarnation, has taken the place of the
  /// one before. What was learnt about its faults and slots is forgotten; its
  /// service times are smoothed and follow by themselves.
  void onNewBackend();

  /// Asks for a slot. With AdmissionChoice::Start the call counts as running.
  AdmissionResult offer(const SlotRequest &Request, Instant Now);

  /// \returns the next waiting call that may start; it counts as running.
  std::optional<SlotRequest> takeNext(Instant Now);

  /// \returns the waiting calls that have waited too long; they still count
  /// until abandon() is called.
  std::vector<SlotRequest> takeExpired(Instant Now);

  /// \returns all waiting calls; they still count until abandon() is called.
  std::vector<SlotRequest> takeAll();

  /// The call did not run, or its end says nothing.
  void abandon(std::uint64_t Id, Instant Now);

  /// The run has ended.
  /// \returns why a run on another backend server would not do better, or None.
  RefusalReason end(std::uint64_t Id, const PeerAnswer &Answer, Instant Now);

  /// The run of a call was given \p Deadline.
  void onDeadlineGiven(std::uint64_t Id, Instant Deadline) {
    NestedCalls.onRunStart(Id, Deadline);
  }

  /// A request of \p Route begins on this host and ends at \p Deadline.
  /// \returns true if it is a call of a run of the backend server.
  bool onOutboundRequest(const std::string &Route, Instant Deadline);

  /// A request that began on this host has failed.
  /// \param Nested it is a call of a run. Requests of callers say nothing about
  /// the runs; without any recognized call, all count unless fewer requests
  /// begin on the host than runs.
  void onOutboundFailure(bool Nested, CallFailure Cause, Instant Now);

  /// Periodic work, twice a second.
  void tick();

  /// \returns what callers of the gate are told about it.
  GateStatus status() const;

  std::size_t running() const { return Queue.running(); }
  std::size_t queued() const { return Queue.queued(); }
  std::uint32_t slots() const { return Queue.limit(); }
  Duration serviceTime(const std::string &Route) const {
    return Queue.serviceTime(Route);
  }

  /// \returns the expected wait of a new call of the least urgent rank.
  Duration estimatedWait() const { return Queue.estimatedWait(UINT8_MAX); }

  /// \returns the bound on active runs of \p Route, or 0 if it has none.
  double bound(const std::string &Route) const { return Limiter.bound(Route); }

private:
  struct Active {
    std::string Route;
    Instant Start;
  };

  bool runsMakeCalls() const;
  /// \returns what the duration of a run with this end tells.
  DurationMeaning meaningOfDuration(const PeerAnswer &Answer) const;
  /// \returns true if the backend server is to blame for the end of a run that
  /// failed for no shared \p Cause.
  static bool isBackendFault(const PeerAnswer &Answer, RefusalReason Cause);
  RunOutcome outcomeOf(const Active &Run, const PeerAnswer &Answer) const;
  RefusalReason dependencyFailureReason(const Active &Run,
                                        const PeerAnswer &Answer,
                                        RunOutcome Outcome) const;

  SlotQueue Queue;
  RouteLimiter Limiter;
  NestedCallDetector NestedCalls;
  /// Calls that wait or run.
  std::map<std::uint64_t, Active> Calls;
  /// The latest failure of a call for each of these causes.
  Instant LastOverload;
  Instant LastUnavailable;
  /// Fading counts of the requests that begin on the host and of the runs.
  double RecentOutbound = 0;
  double RecentRuns = 0;
  /// Smoothed part of the runs that the backend server refused, lost or failed.
  double FaultPart = 0;
};

} // namespace camphorpin

#endif
