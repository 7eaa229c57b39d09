#ifndef CAMPHORPIN_SRC_GATEWAY_BACKENDPROXY_H
#define CAMPHORPIN_SRC_GATEWAY_BACKENDPROXY_H

#include "camphorpin/src/Daemon/EventLog.h"
#include "camphorpin/src/Gateway/BackendAdmission.h"
#include "camphorpin/src/Gateway/BackendTracker.h"
#include "camphorpin/src/Gateway/CrashDetector.h"
#include "camphorpin/src/Gateway/GatewaySettings.h"
#include "camphorpin/src/Gateway/HttpConnectionPool.h"
#include "camphorpin/src/Gateway/PeerMessages.h"
#include "camphorpin/src/Gateway/PlatformProtocol.h"

#include <functional>
#include <map>
#include <memory>
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
  using Reply = std::function<void(PeerAnswer)>;

  BackendProxy(EventLoop &Loop, const Clock &Time,
               const GatewaySettings &Settings,
               const PlatformProtocol &Protocol, EventLog &Log);

  /// \param Listener is called when the backend server becomes available or
  /// unavailable.
  void onStatusChange(std::function<void()> Listener) {
    StatusListener = std::move(Listener);
  }

  /// \param Listener receives the requests that were running at a crash.
  void onCrash(std::function<void(const PeerCrashes &)> Listener) {
    CrashListener = std::move(Listener);
  }

  /// Adds crash notices from another node.
  void addCrashes(const PeerCrashes &Crashes) {
    CrashHistory.onPeerCrashes(Crashes);
  }

  /// \returns true if the request has crashed too many backend servers.
  bool isCrashSuspect(std::uint64_t Fingerprint) const {
    return CrashHistory.refuses(Fingerprint);
  }

  /// Sends a health check, which also returns the id of the backend server.
  void probe();
  void onReport(const BackendReport &Report);
  void onBackendDeparture(const std::string &Id);
  void setHealthPath(const std::string &Path) { HealthPath = Path; }

  /// Refuses further and queued calls; running calls complete as usual.
  void drain();
  bool draining() const { return Draining; }

  /// \returns the id of the run, for cancel().
  std::uint64_t submit(PeerCall Call, Reply Done);

  /// Cancels a call whose answer is no longer needed. An idempotent call is
  /// aborted; a non-idempotent one that has started runs to completion.
  void cancel(std::uint64_t RunId);

  /// Records a request of \p Route that begins on this host and ends at
  /// \p Deadline.
  /// \returns true if it is attributed to a request that runs on the backend
  /// server.
  bool onOutboundRequest(const std::string &Route, Instant Deadline) {
    return Control.onOutboundRequest(Route, Deadline);
  }

  /// Records the failure of a request that began on this host.
  /// \param Nested the request is attributed to a request that runs on the
  /// backend server.
  void onOutboundFailure(bool Nested, CallFailure Cause) {
    Control.onOutboundFailure(Nested, Cause, Time.now());
  }

  BackendStatus status() const;
  const BackendReport &backend() const { return Tracker.current(); }

  /// Periodic work, at least once a second.
  void tick();

  std::size_t active() const { return Runs.size(); }

private:
  struct Run {
    PeerCall Call;
    Reply Done;
    Instant Deadline;
    std::string Backend;
    std::shared_ptr<HttpConnection> Connection;
    std::unique_ptr<boost::asio::steady_timer> Timer;
    bool Started = false;
    Instant StartTime;
  };

  bool available() const;
  /// Sends a health check if its result could make the backend server
  /// available.
  void probeIfNeeded();
  void start(std::uint64_t RunId);
  void startQueued();
  std::string requestBytes(std::uint64_t RunId, const Run &Item);
  void onResult(std::uint64_t RunId, ExchangeResult Result);
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
  void afterTrackerUpdate(bool Changed);
  void onBackendCrash(std::size_t LostRuns, const PeerCrashes &Crashes);
  void armQueueTimer();
  void expireQueued();

  EventLoop &Loop;
  const Clock &Time;
  const GatewaySettings &Settings;
  const PlatformProtocol &Protocol;
  EventLog &Log;
  BackendTracker Tracker;
  BackendAdmission Control;
  CrashDetector CrashHistory;
  HttpConnectionPool Pool;
  std::function<void()> StatusListener;
  std::function<void(const PeerCrashes &)> CrashListener;
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
