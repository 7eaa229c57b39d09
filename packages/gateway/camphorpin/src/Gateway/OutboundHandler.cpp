#include "camphorpin/src/Gateway/OutboundHandler.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace camphorpin {

namespace {

/// Timeout of a request without a valid deadline header.
constexpr Duration DefaultTimeout = Duration::seconds(30);
/// Longest timeout that a caller can ask for.
constexpr Duration MaxTimeout = Duration::seconds(24 * 3600);
/// Subtracted from the timeout of the route, so that the final response arrives
/// before it.
constexpr Duration ResponseMargin = Duration::millis(10);
/// Retry-After of a request that is suspected to crash backend servers.
constexpr Duration SuspectRetryAfter = Duration::seconds(5);
constexpr Duration DefaultRetryAfter = Duration::millis(250);
/// Ranks above this one share a metric series.
constexpr std::uint8_t MaxRankLabel = 7;
/// Largest random addition to Retry-After as a fraction, so that refused
/// callers don't retry at the same time.
constexpr double RetryAfterJitter = 0.5;

Duration parseTimeLeft(std::string_view Text) {
  std::int64_t Millis = 0;
  const auto Parsed =
      std::from_chars(Text.data(), Text.data() + Text.size(), Millis);
  if (Parsed.ec == std::errc::result_out_of_range && !Text.starts_with('-'))
    return MaxTimeout;
  if (Parsed.ec != std::errc() || Millis < 0)
    return DefaultTimeout;
  return Duration::millis(std::min(Millis, MaxTimeout.wholeMillis()));
}

/// \returns a hash that is equal for repeats of the same request by the caller.
std::uint64_t requestFingerprint(const HttpRequest &Request,
                                 std::string_view CallerService,
                                 const SharedBody &Body) {
  std::uint64_t Result = stableHash(std::string_view(Request.target()));
  Result = stableHash(detail::headerOf(Request, "Host"), Result);
  Result = stableHash(CallerService, Result);
  if (Body.empty())
    return stableHash(std::string_view(), Result);
  for (const std::string_view Block : Body.blocks())
    Result = stableHash(Block, Result);
  return Result;
}

/// \returns \p Span in seconds for Retry-After. HTTP defines whole seconds; the
/// fraction is needed because most delays are below one second.
std::string formatSeconds(Duration Span) {
  std::array<char, 32> Text{};
  const int Length =
      std::snprintf(Text.data(), Text.size(), "%.2f", Span.toMillis() / 1000.0);
  return {Text.data(), static_cast<std::size_t>(Length)};
}

} // namespace

OutboundHandler::OutboundHandler(EventLoop &Loop, const Clock &Time,
                                 Random &RandomSource,
                                 const GatewaySettings &Settings,
                                 const PlatformProtocol &Protocol,
                                 PeerNetwork &Network, BackendProxy &Proxy,
                                 EventLog &Log, Metrics &RequestMetrics)
    : Loop(Loop), Time(Time), RandomSource(RandomSource), Settings(Settings),
      Protocol(Protocol), Network(Network), Proxy(Proxy), Log(Log),
      RequestMetrics(RequestMetrics), Split(RandomSource),
      Budget(Settings.RetryBudget) {}

void OutboundHandler::apply(const FleetConfiguration &Configuration) {
  Routes.assign(Configuration.Routes);
  Split.clear();
  Version = Configuration.Version;
}

void OutboundHandler::onRequest(const std::shared_ptr<HttpExchange> &Exchange) {
  const HttpRequest &Request = Exchange->request();
  if (Version == 0) {
    rejectUntracked(*Exchange, "no configuration yet", DefaultRetryAfter);
    return;
  }
  if (RefuseRetryAfter) {
    rejectUntracked(*Exchange, toString(RefusalReason::Draining),
                    *RefuseRetryAfter);
    return;
  }
  const std::shared_ptr<const RouteRule> Route =
      Routes.match(detail::headerOf(Request, "Host"), Request.target());
  if (!Route) {
    Exchange->reply(detail::textReply(404, "no route"));
    return;
  }
  // A second id would be forwarded as well, and no response matches both.
  const std::string &IdHeader = Protocol.headers().RequestId;
  if (Request.count(IdHeader) != 1 ||
      detail::headerOf(Request, IdHeader).empty()) {
    Exchange->reply(detail::textReply(400, "no request id, or several"));
    return;
  }
  if (Route->Shares.empty()) {
    rejectUntracked(*Exchange, "route unreadable", DefaultRetryAfter);
    return;
  }
  begin(NextId++, Exchange, Route);
}

void OutboundHandler::rejectUntracked(HttpExchange &Exchange,
                                      std::string_view Reason,
                                      Duration RetryAfter) {
  Exchange.reply(refusal(Exchange.request(), Reason, RetryAfter));
}

HttpReply OutboundHandler::refusal(const HttpRequest &Request,
                                   std::string_view Reason,
                                   Duration RetryAfter) {
  const std::string_view Id =
      detail::headerOf(Request, Protocol.headers().RequestId);
  Log.write(LogEvent::RequestTurnedAway,
            {{"request", std::string(Id)}, {"reason", std::string(Reason)}});
  HttpReply Reply = detail::textReply(503, Reason);
  Reply.Head += detail::headerLine("Retry-After", formatSeconds(RetryAfter));
  return Reply;
}

HttpReply OutboundHandler::refuseBody(const HttpRequest &Head) {
  return refusal(Head, toString(RefusalReason::NodeBusy), DefaultRetryAfter);
}

void OutboundHandler::begin(std::uint64_t Id,
                            const std::shared_ptr<HttpExchange> &Exchange,
                            const std::shared_ptr<const RouteRule> &Route) {
  const HeaderNames &Names = Protocol.headers();
  const HttpRequest &Request = Exchange->request();
  OutboundCall &Item = Calls[Id];
  Item.Exchange = Exchange;
  Item.Route = Route;
  Item.Service = Split.next(*Route);
  const std::array<std::string_view, 3> Replaced = {
      Names.Deadline, Names.ExpectedBackend, Names.CallerService};
  Item.Head = detail::requestHead(Request, Replaced);
  Item.Head += detail::headerLine(Names.CallerService, Settings.Service);
  Item.RequestId = std::string(detail::headerOf(Request, Names.RequestId));
  Item.Arrived = Time.now();
  const Duration RequestedTimeout =
      parseTimeLeft(detail::headerOf(Request, Names.Deadline));
  const Duration Left =
      std::min(RequestedTimeout, Route->Timeout - ResponseMargin);
  Item.Deadline = Item.Arrived + Left;
  Item.Body = Exchange->takeBody();
  Item.Fingerprint = requestFingerprint(Request, Settings.Service, Item.Body);
  Item.Timer = std::make_unique<boost::asio::steady_timer>(
      Loop, detail::timerSpan(Left));
  Item.Timer->async_wait([this, Id](const boost::system::error_code &Error) {
    if (!Error)
      abort(Id, RefusalReason::Deadline);
  });
  Exchange->setDisconnectHandler([this, Id] { onCallerDisconnected(Id); });
  Item.Nested = Proxy.attributeOutboundRequest(Route->Name,
                                               Item.Arrived + RequestedTimeout);
  Budget.onRequest(Item.Service, Item.Arrived);
  if (Proxy.isCrashSuspect(Item.Fingerprint)) {
    Item.RetryAfter = SuspectRetryAfter;
    refuse(Id, Item, RefusalReason::CrashSuspect);
    return;
  }
  if (!attempt(Id, Item))
    refuse(Id, Item, RefusalReason::NoBackend);
}

PeerCall OutboundHandler::makeCall(std::uint64_t Id,
                                   const OutboundCall &Item) const {
  const Instant Now = Time.now();
  PeerCall Call;
  // The request id, and the number of the attempt in the lower 6 bits.
  Call.Id = Id * 64 + Item.BackendSends + Item.Refusals;
  Call.Head = Item.Head;
  Call.Body = Item.Body;
  Call.RequestId = Item.RequestId;
  Call.Route = Item.Route->Name;
  Call.Service = Item.Service;
  Call.Idempotent = Item.Route->Idempotent;
  Call.Rank = Item.Route->Rank;
  Call.TimeLeft = Item.Deadline - Now;
  Call.Objective = Item.Route->Objective;
  Call.Age = Now - Item.Arrived;
  Call.Fingerprint = Item.Fingerprint;
  Call.Nested = Item.Nested;
  return Call;
}

bool OutboundHandler::attempt(std::uint64_t Id, OutboundCall &Item) {
  std::string Node = Network.choose(Item.Service, *Item.Route, Item.Tried);
  if (Node.empty())
    return false;
  Item.Node = std::move(Node);
  Item.Tried.push_back(Item.Node);
  Network.call(Item.Node, makeCall(Id, Item), [this, Id](PeerAnswer Answer) {
    onAnswer(Id, std::move(Answer));
  });
  return true;
}

RequestProgress
OutboundHandler::requestProgress(const OutboundCall &Item) const {
  const Instant Now = Time.now();
  RequestProgress Progress;
  Progress.Idempotent = Item.Route->Idempotent;
  Progress.Nested = Item.Nested;
  Progress.MaxAttempts = Item.Route->MaxAttempts;
  Progress.BackendSends = Item.BackendSends;
  Progress.Refusals = Item.Refusals;
  Progress.Elapsed = Now - Item.Arrived;
  Progress.TimeLeft = Item.Deadline - Now;
  Progress.Objective = Item.Route->Objective;
  return Progress;
}

void OutboundHandler::onAnswer(std::uint64_t Id, PeerAnswer Answer) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return;
  OutboundCall &Item = Found->second;
  Network.recordAnswer(Item.Node, Item.Route->Name,
                       Item.Head.size() + Item.Body.size(), Answer);
  if (Answer.Outcome == CallOutcome::Refused)
    ++Item.Refusals;
  else
    ++Item.BackendSends;
  if (Answer.verdict() != Verdict::NotRun)
    Item.MayHaveRun = true;
  Item.RetryAfter = Item.RetryAfter == Duration()
                        ? Answer.RetryAfter
                        : std::min(Item.RetryAfter, Answer.RetryAfter);
  NextStep Step = AttemptPolicy::next(requestProgress(Item), Answer);
  if (Step == NextStep::Retry &&
      !Budget.tryRetry(Item.Service, Answer.Status.MakesNestedCalls,
                       Network.nodes(), Time.now()))
    Step = AttemptPolicy::withoutBudget(Answer);
  applyStep(Id, Item, Step, std::move(Answer));
}

void OutboundHandler::applyStep(std::uint64_t Id, OutboundCall &Item,
                                NextStep Step, PeerAnswer &&Answer) {
  switch (Step) {
  case NextStep::Deliver:
    deliver(Id, Item, std::move(Answer));
    return;
  case NextStep::TryAnotherNode:
    if (!attempt(Id, Item))
      refuse(Id, Item, Answer.Reason);
    return;
  case NextStep::Retry: {
    const RefusalReason Reason = Answer.Reason;
    const NextStep Otherwise = AttemptPolicy::withoutBudget(Answer);
    if (Answer.Outcome == CallOutcome::Answered)
      Item.Failure = Answer;
    Log.write(LogEvent::RequestRetried,
              {{"request", Item.RequestId},
               {"node", Item.Node},
               {"backend", Answer.Backend},
               {"reason", std::string(toString(Reason))},
               {"status", std::to_string(Answer.StatusCode)},
               {"sends", std::to_string(Item.BackendSends)}});
    if (!attempt(Id, Item))
      applyStep(Id, Item, Otherwise, std::move(Answer));
    return;
  }
  case NextStep::RefuseNotRun:
    refuse(Id, Item, Answer.Reason);
    return;
  case NextStep::FailMayHaveRun:
    fail(Id, Item, 502, Answer.Reason);
    return;
  }
}

void OutboundHandler::deliver(std::uint64_t Id, OutboundCall &Item,
                              PeerAnswer &&Answer) {
  Item.Body = SharedBody();
  if (!Item.Exchange->reserve(Answer.Head.size() + Answer.Body.size())) {
    // Slow readers hold the node's memory. The request has run.
    reportFailure(Item, 502, RefusalReason::NodeBusy);
    record(Item, Verdict::Ran, RefusalReason::NodeBusy);
    finish(Id, detail::textReply(502, toString(RefusalReason::NodeBusy)));
    return;
  }
  if (Answer.StatusCode >= 500)
    reportFailure(Item, Answer.StatusCode,
                  Answer.Reason == RefusalReason::None
                      ? RefusalReason::BackendFailed
                      : Answer.Reason);
  record(Item, Verdict::Ran,
         Answer.StatusCode >= 500 ? RefusalReason::BackendFailed
                                  : RefusalReason::None);
  HttpReply Reply;
  Reply.Status = Answer.StatusCode;
  Reply.Head = std::move(Answer.Head);
  Reply.Body = std::move(Answer.Body);
  finish(Id, std::move(Reply));
}

void OutboundHandler::refuse(std::uint64_t Id, OutboundCall &Item,
                             RefusalReason Reason) {
  if (Item.Failure) {
    PeerAnswer Failure = std::move(*Item.Failure);
    deliver(Id, Item, std::move(Failure));
    return;
  }
  // An earlier attempt may have run, so "not run" would be wrong.
  if (Item.MayHaveRun) {
    fail(Id, Item, 502, Reason);
    return;
  }
  reportFailure(Item, 503, Reason);
  record(Item, Verdict::NotRun, Reason);
  HttpReply Reply = detail::textReply(503, toString(Reason));
  const Duration Base =
      Item.RetryAfter == Duration() ? DefaultRetryAfter : Item.RetryAfter;
  Reply.Head += detail::headerLine(
      "Retry-After",
      formatSeconds(Base * (1 + RetryAfterJitter * RandomSource.uniform01())));
  finish(Id, std::move(Reply));
}

void OutboundHandler::fail(std::uint64_t Id, OutboundCall &Item,
                           unsigned Status, RefusalReason Reason) {
  if (Item.Failure) {
    PeerAnswer Failure = std::move(*Item.Failure);
    deliver(Id, Item, std::move(Failure));
    return;
  }
  reportFailure(Item, Status, Reason);
  record(Item, Verdict::MayHaveRun, Reason);
  finish(Id, detail::textReply(Status, toString(Reason)));
}

void OutboundHandler::record(const OutboundCall &Item, Verdict FinalVerdict,
                             RefusalReason Reason) {
  RequestSample Sample;
  Sample.Caller = CallerName(Item.Route->Name);
  Sample.Rank = Rank(std::min<std::uint8_t>(Item.Route->Rank, MaxRankLabel));
  Sample.Verdict = FinalVerdict;
  Sample.Reason = Reason;
  Sample.Elapsed = Time.now() - Item.Arrived;
  RequestMetrics.record(Sample);
}

void OutboundHandler::finish(std::uint64_t Id, HttpReply Reply) {
  const auto Found = Calls.find(Id);
  const std::shared_ptr<HttpExchange> Exchange =
      std::move(Found->second.Exchange);
  Calls.erase(Found);
  Exchange->reply(std::move(Reply));
}

void OutboundHandler::abort(std::uint64_t Id, RefusalReason Reason) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return;
  OutboundCall &Item = Found->second;
  const std::uint64_t CallId = makeCall(Id, Item).Id;
  Network.cancel(Item.Node, CallId);
  // The request may have started on the backend server, so its outcome is
  // unknown.
  fail(Id, Item, 504, Reason);
}

void OutboundHandler::abortAll() {
  while (!Calls.empty())
    abort(Calls.begin()->first, RefusalReason::Draining);
}

void OutboundHandler::onCallerDisconnected(std::uint64_t Id) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return;
  const std::uint64_t CallId = makeCall(Id, Found->second).Id;
  Network.cancel(Found->second.Node, CallId);
  Calls.erase(Found);
}

void OutboundHandler::reportFailure(const OutboundCall &Item, unsigned Status,
                                    RefusalReason Reason) {
  Proxy.onOutboundFailure(Item.Nested, classifyFailure(Reason, Status));
  Log.write(
      LogEvent::RequestFailed,
      {{"request", Item.RequestId},
       {"route", Item.Route->Name},
       {"service", Item.Service},
       {"status", std::to_string(Status)},
       {"reason", std::string(toString(Reason))},
       {"node", Item.Node},
       {"sends", std::to_string(Item.BackendSends)},
       {"refusals", std::to_string(Item.Refusals)},
       {"elapsedMs", std::to_string((Time.now() - Item.Arrived).wholeMillis())},
       {"configuration", std::to_string(Version)}});
}

} // namespace camphorpin
