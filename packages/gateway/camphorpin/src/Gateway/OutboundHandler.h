#ifndef CAMPHORPIN_SRC_GATEWAY_OUTBOUNDHANDLER_H
#define CAMPHORPIN_SRC_GATEWAY_OUTBOUNDHANDLER_H

#include "camphorpin/src/Daemon/Metrics.h"
#include "camphorpin/src/Gateway/AsyncHttpServer.h"
#include "camphorpin/src/Gateway/AttemptPolicy.h"
#include "camphorpin/src/Gateway/BackendProxy.h"
#include "camphorpin/src/Gateway/PeerNetwork.h"
#include "camphorpin/src/Gateway/RouteTable.h"
#include "camphorpin/src/Gateway/TrafficSplit.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace camphorpin {

/// \class OutboundHandler
/// \brief Handles the requests that callers on this host send to other
/// services. Each receives exactly one final response before its deadline.
class OutboundHandler final : public HttpRequestHandler {
public:
  OutboundHandler(EventLoop &Loop, const Clock &Time, Random &RandomSource,
                  const GatewaySettings &Settings,
                  const PlatformProtocol &Protocol, PeerNetwork &Network,
                  BackendProxy &Proxy, EventLog &Log, Metrics &RequestMetrics);

  /// Applies a configuration to requests that arrive from now on.
  void apply(const FleetConfiguration &Configuration);

  void onRequest(const std::shared_ptr<HttpExchange> &Exchange) override;

  /// Refuses requests that arrive from now on, with the verdict not-run.
  /// \param RetryAfter when the caller may retry.
  void refuseNew(Duration RetryAfter) { RefuseRetryAfter = RetryAfter; }

  /// Ends all requests without a final response with status 504.
  void abortAll();

  HttpReply refuseBody(const HttpRequest &Head) override;

  std::size_t active() const { return Calls.size(); }

private:
  struct OutboundCall {
    std::shared_ptr<HttpExchange> Exchange;
    std::shared_ptr<const RouteRule> Route;
    std::string Service;
    std::string Head;
    SharedBody Body;
    std::string RequestId;
    std::uint64_t Fingerprint = 0;
    Instant Arrived;
    Instant Deadline;
    /// Ended attempts that no node refused.
    std::uint32_t BackendSends = 0;
    /// Ended attempts that a node refused.
    std::uint32_t Refusals = 0;
    /// An attempt has ended without the verdict "not run".
    bool MayHaveRun = false;
    /// A request that runs on the local backend server waits for this one.
    bool Nested = false;
    /// Nodes that received an attempt.
    std::vector<std::string> Tried;
    /// The node that received the latest attempt.
    std::string Node;
    /// Shortest Retry-After of the answers so far; 0 if there is none.
    Duration RetryAfter;
    /// An error response of a backend server, delivered if no retry succeeds.
    std::optional<PeerAnswer> Failure;
    std::unique_ptr<boost::asio::steady_timer> Timer;
  };

  /// Rejects a request before it is tracked.
  void rejectUntracked(HttpExchange &Exchange, std::string_view Reason,
                       Duration RetryAfter);
  /// \returns the refusal of a request that is not tracked.
  HttpReply refusal(const HttpRequest &Request, std::string_view Reason,
                    Duration RetryAfter);
  /// Tracks a request and sends its first attempt.
  void begin(std::uint64_t Id, const std::shared_ptr<HttpExchange> &Exchange,
             const std::shared_ptr<const RouteRule> &Route);
  /// Sends the request to a node that was not tried yet.
  /// \returns false if there is none.
  bool attempt(std::uint64_t Id, OutboundCall &Item);
  PeerCall makeCall(std::uint64_t Id, const OutboundCall &Item) const;
  void onAnswer(std::uint64_t Id, PeerAnswer Answer);
  RequestProgress requestProgress(const OutboundCall &Item) const;
  void applyStep(std::uint64_t Id, OutboundCall &Item, NextStep Step,
                 PeerAnswer &&Answer);
  void deliver(std::uint64_t Id, OutboundCall &Item, PeerAnswer &&Answer);
  /// Responds 503 with the verdict "not run". If an attempt returned an error
  /// response or may have run, responds as fail() does.
  void refuse(std::uint64_t Id, OutboundCall &Item, RefusalReason Reason);
  /// Delivers the error response of an earlier attempt, or else responds with
  /// \p Status; the request may have run.
  void fail(std::uint64_t Id, OutboundCall &Item, unsigned Status,
            RefusalReason Reason);
  /// Sends the final response and stops tracking the request.
  void finish(std::uint64_t Id, HttpReply Reply);
  /// Cancels the current attempt of a request and responds 504.
  void abort(std::uint64_t Id, RefusalReason Reason);
  void onCallerDisconnected(std::uint64_t Id);
  void record(const OutboundCall &Item, Verdict FinalVerdict,
              RefusalReason Reason);
  /// Reports a failed request to the local admission control and the log.
  void reportFailure(const OutboundCall &Item, unsigned Status,
                     RefusalReason Reason);

  EventLoop &Loop;
  const Clock &Time;
  Random &RandomSource;
  const GatewaySettings &Settings;
  const PlatformProtocol &Protocol;
  PeerNetwork &Network;
  BackendProxy &Proxy;
  EventLog &Log;
  Metrics &RequestMetrics;
  RouteTable Routes;
  TrafficSplit Split;
  NodeRetryBudget Budget;
  std::uint64_t Version = 0;
  /// Retry-After of new requests while they are refused.
  std::optional<Duration> RefuseRetryAfter;
  std::uint64_t NextId = 1;
  std::map<std::uint64_t, OutboundCall> Calls;
};

} // namespace camphorpin

#endif
