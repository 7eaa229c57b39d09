#ifndef CAMPHORPIN_SRC_GATEWAY_BACKENDPROXY_H
#define CAMPHORPIN_SRC_GATEWAY_BACKENDPROXY_H

#include "camphorpin/src/Daemon/EventLog.h"
#include "camphorpin/src/Gateway/BackendAdmission.h"
#include "camphorpin/src/Gateway/BackendTracker.h"
#include "camphorpin/src/Gateway/CrashDetector.h"
#include "camphorpin/src/Gateway/GatewaySettings.h"
#include "camphorpin/src/Gateway/PeerMessages.h"
#include "camphorpin/src/Gateway/PlatformProtocol.h"
#include "camphorpin/src/Http/ByteBudget.h"
#include "camphorpin/src/Http/HttpConnectionPool.h"

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace camphorpin {

/// \class BackendProxy
/// \brief Forwards requests to the local backend server.
///
/// All requests to the backend server pass through this class. It owns the
/// state of the server, its connections, the queue and all running requests.
class BackendProxy {
public:
  /// Receives the answer to a call. Called once, unless the call is cancelled.
  using AnswerCallback = std::function<void(PeerAnswer)>;

  BackendProxy(EventLoop &Loop, const Clock &Time,
               const GatewaySettings &Settings,
               const PlatformProtocol &Protocol, EventLog &Log);

  /// \param Listener is called when status() may have changed.
  void setStatusListener(std::function<void()> Listener) {
    StatusListener = std::move(Listener);
  }

  /// \param Listener receives the requests that were running at a crash.
  void setCrashListener(std::function<void(const PeerCrashes &)> Listener) {
    CrashListener = std::move(Listener);
  }

  /// \param Listener receives the departures of backend servers when they have
  /// changed.
  void setDepartureListener(
      std::function<void(std::span<const BackendDeparture>)> Listener) {
    DepartureListener = std::move(Listener);
  }

  /// Sends no requests until restoreDepartures() is called.
  void awaitDepartures() { DeparturesKnown = false; }

  /// Handles the departures that an earlier process of this node has
  /// acknowledged.
  void restoreDepartures(std::span<const BackendDeparture> Earlier);

  /// Handles departures that an earlier process of this node has announced to
  /// its peers. The store may lack them.
  void addDepartures(std::span<const BackendDeparture> Earlier);

  /// \returns the known crashes, for a node that connects.
  PeerCrashes knownCrashes() const { return Detector.knownCrashes(); }

  /// \returns the departures of the local backend servers, the latest ones.
  std::vector<BackendDeparture> departures() const {
    return Tracker.departures();
  }

  /// Adds crash notices from another node.
  void addCrashes(const PeerCrashes &Crashes) {
    Detector.onPeerCrashes(Crashes);
  }

  /// \returns the crash notices that no call has returned before and that the
  /// listener has not received.
  PeerCrashes takeCrashReports() { return Detector.takeReports(); }

  /// \returns true if the request has crashed too many backend servers.
  bool isCrashSuspect(std::uint64_t Fingerprint) const {
    return Detector.refuses(Fingerprint);
  }

  /// Sends a health check, which also returns the id of the backend server.
  void probe();
  /// Handles a lifecycle report of the backend server.
  void onReport(const BackendReport &Report);
  /// Handles the departure of the backend server \p Id.
  void onBackendDeparture(const std::string &Id);
  void setHealthPath(const std::string &Path) { HealthPath = Path; }

  /// Refuses further and queued calls; running calls complete as usual.
  void drain();
  bool draining() const { return Draining; }

  /// Starts, queues or refuses a call.
  /// \returns the id of the run, for cancel().
  std::uint64_t submit(PeerCall Call, AnswerCallback Done);

  /// Cancels a call whose answer is no longer needed. An idempotent call is
  /// aborted; a non-idempotent one that has started runs to completion.
  void cancel(std::uint64_t RunId);

  /// Records a request of \p Route that begins on this host and ends at
  /// \p Deadline.
  /// \returns true if it is attributed to a request that runs on the backend
  /// server.
  bool attributeOutboundRequest(const std::string &Route, Instant Deadline) {
    return Admission.onOutboundRequest(Route, Deadline);
  }

  /// Records the failure of a request that began on this host.
  /// \param Nested the request is attributed to a request that runs on the
  /// backend server.
  void onOutboundFailure(bool Nested, CallFailure Cause) {
    Admission.onOutboundFailure(Nested, Cause, Time.now());
  }

  BackendStatus status() const;
  /// \returns the budget for the requests that this node holds: those of
  /// callers and those for the backend server, with the answers to callers.
  const std::shared_ptr<ByteBudget> &messageBudget() const {
    return MessageBudget;
  }
  const BackendReport &backend() const { return Tracker.current(); }

  /// Does periodic work. Must be called at least once a second.
  void tick();

  /// \returns the number of running and queued calls.
  std::size_t active() const { return Runs.size(); }

private:
  /// A submitted call: queued, or running on the backend server.
  struct Run {
    PeerCall Call;
    AnswerCallback Done;
    Instant Deadline;
    std::string Backend;
    std::shared_ptr<HttpConnection> Connection;
    std::unique_ptr<boost::asio::steady_timer> Timer;
    bool Started = false;
    Instant StartTime;
    /// The bytes of the request's head, and of its body if nothing else counts
    /// them.
    BudgetShare Held;
    explicit Run(std::shared_ptr<ByteBudget> Budget)
        : Held(std::move(Budget)) {}
  };

  bool available() const;
  /// Sends a health check if its result could make the backend server
  /// available.
  void probeIfNeeded();
  void start(std::uint64_t RunId);
  void startQueued();
  /// \returns what precedes the body of a run's request. Its deadline is
  /// registered for the detection of nested calls.
  std::string requestHead(std::uint64_t RunId, const Run &Item);
  void onResult(std::uint64_t RunId, ExchangeResult Result);
  /// \returns the answer for the result of an exchange. A result that shows
  /// that the backend server is unreachable or another one updates its status.
  PeerAnswer classify(const Run &Item, ExchangeResult &Result);
  PeerAnswer classifyResponse(const HttpResponse &Response);
  void logFailure(const Run &Item, const PeerAnswer &Answer);
  void onRunDeadline(std::uint64_t RunId);
  /// Ends a run that was started.
  void finish(std::uint64_t RunId, PeerAnswer Answer);
  /// Removes a call that no longer holds a slot, and passes its answer to the
  /// caller.
  void deliver(std::uint64_t RunId, PeerAnswer Answer);
  void refuse(std::uint64_t RunId, RefusalReason Reason, Duration RetryAfter);
  void refuseQueued(RefusalReason Reason);
  /// Applies a change of the backend server's state, if \p Changed.
  void onTrackerChange(bool Changed);
  /// Tells the listener if the departures have changed.
  void reportDepartures();
  void onBackendCrash(std::size_t LostRuns, const PeerCrashes &Crashes);
  void armQueueTimer();
  /// Refuses queued calls whose maximum wait has passed.
  void expireQueued();

  EventLoop &Loop;
  const Clock &Time;
  const GatewaySettings &Settings;
  const PlatformProtocol &Protocol;
  EventLog &Log;
  BackendTracker Tracker;
  BackendAdmission Admission;
  CrashDetector Detector;
  HttpConnectionPool Pool;
  std::shared_ptr<ByteBudget> MessageBudget;
  std::function<void()> StatusListener;
  std::function<void(const PeerCrashes &)> CrashListener;
  std::function<void(std::span<const BackendDeparture>)> DepartureListener;
  /// The departures passed to the listener last.
  std::vector<BackendDeparture> KnownDepartures;
  bool DeparturesKnown = true;
  std::string HealthPath = "/health";
  std::map<std::uint64_t, Run> Runs;
  std::uint64_t NextRun = 1;
  boost::asio::steady_timer QueueTimer;
  bool QueueTimerArmed = false;
  bool Draining = false;
  /// The connection of the pending health check, if any.
  std::shared_ptr<HttpConnection> ProbeConnection;
  Instant ProbeStarted;
  /// No request is sent until this instant, because the backend server refused
  /// connections or crashed.
  Instant UnreachableUntil;
};

} // namespace camphorpin

#endif
