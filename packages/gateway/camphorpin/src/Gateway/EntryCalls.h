#ifndef CAMPHORPIN_SRC_GATEWAY_ENTRYCALLS_H
#define CAMPHORPIN_SRC_GATEWAY_ENTRYCALLS_H

#include "camphorpin/src/Daemon/Metrics.h"
#include "camphorpin/src/Gateway/AsyncHttpServer.h"
#include "camphorpin/src/Gateway/AttemptPolicy.h"
#include "camphorpin/src/Gateway/LocalGate.h"
#include "camphorpin/src/Gateway/PeerNetwork.h"
#include "camphorpin/src/Gateway/RouteTable.h"
#include "camphorpin/src/Gateway/TrafficSplit.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace camphorpin {

/// \class EntryCalls
/// \brief Owns the requests that callers on this host have sent: each gets
/// exactly one final answer, in time.
class EntryCalls final : public HttpRequestHandler {
public:
  EntryCalls(EventLoop &Loop, const Clock &Time, Random &Source,
             const GatewaySettings &Settings, const PlatformProtocol &Protocol,
             PeerNetwork &Network, LocalGate &Gate, EventLog &Log,
             Metrics &Values);

  /// Puts a configuration in force for requests that arrive from now on.
  void apply(const FleetConfiguration &Configuration);

  void onRequest(const std::shared_ptr<HttpExchange> &Exchange) override;

  /// Refuses requests that arrive from now on as not run.
  /// \param RetryAfter when the caller may come back.
  void refuseNew(Duration RetryAfter) { Refusing = RetryAfter; }

  std::size_t active() const { return Calls.size(); }

private:
  struct EntryCall {
    std::shared_ptr<HttpExchange> Exchange;
    std::shared_ptr<const RouteRule> Route;
    std::string Service;
    std::string Head;
    std::string Body;
    std::string RequestId;
    std::uint64_t Fingerprint = 0;
    Instant Arrived;
    Instant Deadline;
    std::uint32_t BackendSends = 0;
    std::uint32_t Refusals = 0;
    bool MayHaveRun = false;
    /// A run of the local backend server waits for it.
    bool Nested = false;
    std::vector<std::string> Tried;
    /// The gate that was asked last.
    std::string Node;
    Duration RetryAfter;
    /// A failure of a backend server that is delivered if no retry succeeds.
    std::optional<PeerAnswer> Failure;
    std::unique_ptr<boost::asio::steady_timer> Timer;
  };

  /// Refuses a request that isn't tracked.
  void turnAway(HttpExchange &Exchange, std::string_view Reason,
                Duration RetryAfter);
  void begin(std::uint64_t Id, const std::shared_ptr<HttpExchange> &Exchange,
             const std::shared_ptr<const RouteRule> &Route);
  /// \returns false if no gate can be asked.
  bool attempt(std::uint64_t Id, EntryCall &Item);
  PeerCall makeCall(std::uint64_t Id, const EntryCall &Item) const;
  void onAnswer(std::uint64_t Id, PeerAnswer Answer);
  RequestProgress factsOf(const EntryCall &Item) const;
  void act(std::uint64_t Id, EntryCall &Item, NextStep Step,
           PeerAnswer &&Answer);
  void deliver(std::uint64_t Id, EntryCall &Item, PeerAnswer &&Answer);
  void refuse(std::uint64_t Id, EntryCall &Item, RefusalReason Reason);
  void fail(std::uint64_t Id, EntryCall &Item, unsigned Status,
            RefusalReason Reason);
  void finish(std::uint64_t Id, HttpReply Reply);
  void onDeadline(std::uint64_t Id);
  void onAbandoned(std::uint64_t Id);
  void record(const EntryCall &Item, Verdict Outcome, RefusalReason Reason);
  void logEnd(const EntryCall &Item, unsigned Status, RefusalReason Reason);

  EventLoop &Loop;
  const Clock &Time;
  Random &Source;
  const GatewaySettings &Settings;
  const PlatformProtocol &Protocol;
  PeerNetwork &Network;
  LocalGate &Gate;
  EventLog &Log;
  Metrics &Values;
  RouteTable Routes;
  TrafficSplit Split;
  NodeRetryBudget Budget;
  std::uint64_t Version = 0;
  /// Set while new requests are refused.
  std::optional<Duration> Refusing;
  std::uint64_t NextId = 1;
  std::map<std::uint64_t, EntryCall> Calls;
};

} // namespace camphorpin

#endif
