#ifndef CAMPHORPIN_SRC_GATEWAY_LOCALGATE_H
#define CAMPHORPIN_SRC_GATEWAY_LOCALGATE_H

#include "camphorpin/src/Daemon/EventLog.h"
#include "camphorpin/src/Gateway/BackendAdmission.h"
#include "camphorpin/src/Gateway/BackendTracker.h"
#include "camphorpin/src/Gateway/CrashDetector.h"
#include "camphorpin/src/Gateway/GatewaySettings.h"
#include "camphorpin/src/Gateway/HttpPool.h"
#include "camphorpin/src/Gateway/PeerMessages.h"
#include "camphorpin/src/Gateway/PlatformProtocol.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace camphorpin {

/// \class LocalGate
/// \brief Runs requests on the local backend server.
///
/// The only way to the backend server. Owns what is known about it, its
/// connections, the queue in front of it and all running requests.
class LocalGate {
public:
  /// Receives the end of a call. Called once, unless the call is cancelled.
  using Reply = std::function<void(PeerAnswer)>;

  LocalGate(EventLoop &Loop, const Clock &Time, const GatewaySettings &Settings,
            const PlatformProtocol &Protocol, EventLog &Log);

  /// \param Listener is called when the gate begins or ends to take requests.
  void onStatusChange(std::function<void()> Listener) {
    StatusChanged = std::move(Listener);
  }

  /// \param Listener receives the requests that were running at a crash.
  void onCrash(std::function<void(const PeerCrashes &)> Listener) {
    CrashFound = std::move(Listener);
  }

  /// News of a crash at another node.
  void learnCrashes(const PeerCrashes &Crashes) {
    Crashed.onPeerCrashes(Crashes);
  }

  /// \returns true if the request has crashed too many backend servers.
  bool crashSuspect(std::uint64_t Fingerprint) const {
    return Crashed.refuses(Fingerprint);
  }

  /// Asks the backend server who it is.
  void probe();
  void onReport(const BackendReport &Report);
  void onDeparture(const std::string &Id);
  void setHealthPath(const std::string &Path) { HealthPath = Path; }

  /// Takes no further calls; those that were taken end as usual.
  void drain();
  bool draining() const { return Draining; }

  /// \returns a number for cancel().
  std::uint64_t submit(PeerCall Call, Reply Done);

  /// Nobody waits for the call any more. An idempotent call is broken off, a
  /// non-idempotent one that has started runs to its end.
  void cancel(std::uint64_t RunId);

  /// A request of \p Route begins on this host and ends at \p Deadline.
  /// \returns true if it is a call of a run of the backend server.
  bool onOutboundRequest(const std::string &Route, Instant Deadline) {
    return Control.onOutboundRequest(Route, Deadline);
  }

  /// A request that began on this host has failed.
  /// \param Nested it is a call of a run of the backend server.
  void onOutboundFailure(bool Nested, CallFailure Cause) {
    Control.onOutboundFailure(Nested, Cause, Time.now());
  }

  GateStatus status() const;
  const BackendReport &backend() const { return Ledger.current(); }

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
  /// Probes if the answer could make the backend server usable.
  void probeIfNeeded();
  void start(std::uint64_t RunId);
  void startWaiting();
  std::string requestBytes(std::uint64_t RunId, const Run &Item);
  void onResult(std::uint64_t RunId, ExchangeResult Result);
  PeerAnswer classify(const Run &Item, ExchangeResult &Result);
  PeerAnswer classifyWhole(const HttpResponse &Response);
  void logFailure(const Run &Item, const PeerAnswer &Answer);
  void onRunDeadline(std::uint64_t RunId);
  /// A run has ended.
  void finish(std::uint64_t RunId, PeerAnswer Answer);
  /// Gives the end of a call that no longer counts to whoever waits for it.
  void deliver(std::uint64_t RunId, PeerAnswer Answer);
  void refuse(std::uint64_t RunId, RefusalReason Reason, Duration RetryAfter);
  void refuseWaiting(RefusalReason Reason);
  void afterLedgerChange(bool Changed);
  void onBackendCrash(std::size_t LostRuns, const PeerCrashes &Crashes);
  void armQueueTimer();
  void expireWaiting();

  EventLoop &Loop;
  const Clock &Time;
  const GatewaySettings &Settings;
  const PlatformProtocol &Protocol;
  EventLog &Log;
  BackendTracker Ledger;
  BackendAdmission Control;
  CrashDetector Crashed;
  HttpPool Pool;
  std::function<void()> StatusChanged;
  std::function<void(const PeerCrashes &)> CrashFound;
  std::string HealthPath = "/health";
  std::map<std::uint64_t, Run> Runs;
  std::uint64_t NextRun = 1;
  boost::asio::steady_timer QueueTimer;
  bool QueueTimerArmed = false;
  bool Draining = false;
  /// The connection of the health check that runs.
  std::shared_ptr<HttpConnection> Probing;
  Instant ProbeStarted;
  /// The backend server refuses connections until this instant.
  Instant UnreachableUntil;
};

} // namespace camphorpin

#endif
