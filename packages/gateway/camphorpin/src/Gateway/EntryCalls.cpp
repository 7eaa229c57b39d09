#include "camphorpin/src/Gateway/EntryCalls.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace camphorpin {

namespace {

/// Remaining time of a request that tells none.
constexpr Duration DefaultTimeLeft = Duration::seconds(30);
/// The final answer is given a little before the operator's timeout, so that it
/// arrives in time.
constexpr Duration AnswerMargin = Duration::millis(10);
/// When a request that crashes backend servers may come back.
constexpr Duration SuspectRetryAfter = Duration::seconds(5);
constexpr Duration DefaultRetryAfter = Duration::millis(250);
/// Ranks above this one share a series.
constexpr std::uint8_t MaxRankLabel = 7;
/// Random part of Retry-After, so that refused callers don't return together.
constexpr double RetryAfterSpread = 0.5;

Duration timeLeftOf(std::string_view Text) {
  std::int64_t Millis = 0;
  const auto Parsed =
      std::from_chars(Text.data(), Text.data() + Text.size(), Millis);
  if (Parsed.ec != std::errc() || Millis < 0)
    return DefaultTimeLeft;
  return Duration::millis(Millis);
}

/// \returns what a request has in common with its repeats by the caller.
std::uint64_t fingerprintOf(const HttpRequest &Request,
                            std::string_view CallerService,
                            std::string_view Body) {
  std::uint64_t Result = stableHash(std::string_view(Request.target()));
  Result = stableHash(detail::headerOf(Request, "Host"), Result);
  Result = stableHash(CallerService, Result);
  return stableHash(Body, Result);
}

/// \returns \p Span in seconds with a fraction, as in Retry-After.
std::string secondsText(Duration Span) {
  std::array<char, 32> Text{};
  const int Length =
      std::snprintf(Text.data(), Text.size(), "%.2f", Span.toMillis() / 1000.0);
  return {Text.data(), static_cast<std::size_t>(Length)};
}

} // namespace

EntryCalls::EntryCalls(EventLoop &Loop, const Clock &Time, Random &Source,
                       const GatewaySettings &Settings,
                       const PlatformProtocol &Protocol, PeerNetwork &Network,
                       LocalGate &Gate, EventLog &Log, Metrics &Values)
    : Loop(Loop), Time(Time), Source(Source), Settings(Settings),
      Protocol(Protocol), Network(Network), Gate(Gate), Log(Log),
      Values(Values), Split(Source), Budget(Settings.RetryBudget) {}

void EntryCalls::apply(const FleetConfiguration &Configuration) {
  Routes.assign(Configuration.Routes);
  Split.clear();
  Version = Configuration.Version;
}

void EntryCalls::onRequest(const std::shared_ptr<HttpExchange> &Exchange) {
  const HttpRequest &Request = Exchange->request();
  if (Version == 0) {
    turnAway(*Exchange, "no configuration yet", DefaultRetryAfter);
    return;
  }
  if (Refusing) {
    turnAway(*Exchange, toString(RefusalReason::Draining), *Refusing);
    return;
  }
  const std::shared_ptr<const RouteRule> Route =
      Routes.match(detail::headerOf(Request, "Host"), Request.target());
  if (!Route) {
    Exchange->reply(detail::plainReply(404, "no route"));
    return;
  }
  if (detail::headerOf(Request, Protocol.headers().RequestId).empty()) {
    Exchange->reply(detail::plainReply(400, "no request id"));
    return;
  }
  begin(NextId++, Exchange, Route);
}

void EntryCalls::turnAway(HttpExchange &Exchange, std::string_view Reason,
                          Duration RetryAfter) {
  const std::string_view Id =
      detail::headerOf(Exchange.request(), Protocol.headers().RequestId);
  Log.write(LogEvent::RequestTurnedAway,
            {{"request", std::string(Id)}, {"reason", std::string(Reason)}});
  HttpReply Reply = detail::plainReply(503, Reason);
  Reply.Head += detail::headerLine("Retry-After", secondsText(RetryAfter));
  Exchange.reply(std::move(Reply));
}

void EntryCalls::begin(std::uint64_t Id,
                       const std::shared_ptr<HttpExchange> &Exchange,
                       const std::shared_ptr<const RouteRule> &Route) {
  const HeaderNames &Names = Protocol.headers();
  const HttpRequest &Request = Exchange->request();
  EntryCall &Item = Calls[Id];
  Item.Exchange = Exchange;
  Item.Route = Route;
  Item.Service = Split.next(*Route);
  const std::array<std::string_view, 3> Replaced = {
      Names.Deadline, Names.ExpectedBackend, Names.CallerService};
  Item.Head = detail::requestHead(Request, Replaced);
  Item.Head += detail::headerLine(Names.CallerService, Settings.Service);
  Item.RequestId = std::string(detail::headerOf(Request, Names.RequestId));
  Item.Arrived = Time.now();
  const Duration Told = timeLeftOf(detail::headerOf(Request, Names.Deadline));
  const Duration Left = std::min(Told, Route->Timeout - AnswerMargin);
  Item.Deadline = Item.Arrived + Left;
  Item.Body = Exchange->takeBody();
  Item.Fingerprint = fingerprintOf(Request, Settings.Service, Item.Body);
  Item.Timer = std::make_unique<boost::asio::steady_timer>(
      Loop, detail::timerSpan(Left));
  Item.Timer->async_wait([this, Id](const boost::system::error_code &Error) {
    if (!Error)
      onDeadline(Id);
  });
  Exchange->onAbandoned([this, Id] { onAbandoned(Id); });
  Item.Nested = Gate.onOutboundRequest(Route->Name, Item.Arrived + Told);
  Budget.onRequest(Item.Service, Item.Arrived);
  if (Gate.crashSuspect(Item.Fingerprint)) {
    Item.RetryAfter = SuspectRetryAfter;
    refuse(Id, Item, RefusalReason::CrashSuspect);
    return;
  }
  if (!attempt(Id, Item))
    refuse(Id, Item, RefusalReason::NoBackend);
}

PeerCall EntryCalls::makeCall(std::uint64_t Id, const EntryCall &Item) const {
  const Instant Now = Time.now();
  PeerCall Call;
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

bool EntryCalls::attempt(std::uint64_t Id, EntryCall &Item) {
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

RequestProgress EntryCalls::factsOf(const EntryCall &Item) const {
  const Instant Now = Time.now();
  RequestProgress Facts;
  Facts.Idempotent = Item.Route->Idempotent;
  Facts.Nested = Item.Nested;
  Facts.MaxAttempts = Item.Route->MaxAttempts;
  Facts.BackendSends = Item.BackendSends;
  Facts.Refusals = Item.Refusals;
  Facts.Elapsed = Now - Item.Arrived;
  Facts.TimeLeft = Item.Deadline - Now;
  Facts.Objective = Item.Route->Objective;
  return Facts;
}

void EntryCalls::onAnswer(std::uint64_t Id, PeerAnswer Answer) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return;
  EntryCall &Item = Found->second;
  Network.learn(Item.Node, Item.Route->Name,
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
  NextStep Step = AttemptPolicy::next(factsOf(Item), Answer);
  if (Step == NextStep::Retry &&
      !Budget.tryRetry(Item.Service, Answer.Status.CallsOthers, Network.nodes(),
                       Time.now()))
    Step = AttemptPolicy::withoutBudget(Answer);
  act(Id, Item, Step, std::move(Answer));
}

void EntryCalls::act(std::uint64_t Id, EntryCall &Item, NextStep Step,
                     PeerAnswer &&Answer) {
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
      act(Id, Item, Otherwise, std::move(Answer));
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

void EntryCalls::deliver(std::uint64_t Id, EntryCall &Item,
                         PeerAnswer &&Answer) {
  if (Answer.StatusCode >= 500)
    logEnd(Item, Answer.StatusCode,
           Answer.Reason == RefusalReason::None ? RefusalReason::BackendFailed
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

void EntryCalls::refuse(std::uint64_t Id, EntryCall &Item,
                        RefusalReason Reason) {
  if (Item.Failure) {
    PeerAnswer Failure = std::move(*Item.Failure);
    deliver(Id, Item, std::move(Failure));
    return;
  }
  // An earlier attempt may have run, so "not run" would be untrue.
  if (Item.MayHaveRun) {
    fail(Id, Item, 502, Reason);
    return;
  }
  logEnd(Item, 503, Reason);
  record(Item, Verdict::NotRun, Reason);
  HttpReply Reply = detail::plainReply(503, toString(Reason));
  const Duration Base =
      Item.RetryAfter == Duration() ? DefaultRetryAfter : Item.RetryAfter;
  Reply.Head += detail::headerLine(
      "Retry-After",
      secondsText(Base * (1 + RetryAfterSpread * Source.unit())));
  finish(Id, std::move(Reply));
}

void EntryCalls::fail(std::uint64_t Id, EntryCall &Item, unsigned Status,
                      RefusalReason Reason) {
  if (Item.Failure) {
    PeerAnswer Failure = std::move(*Item.Failure);
    deliver(Id, Item, std::move(Failure));
    return;
  }
  logEnd(Item, Status, Reason);
  record(Item, Verdict::MayHaveRun, Reason);
  finish(Id, detail::plainReply(Status, toString(Reason)));
}

void EntryCalls::record(const EntryCall &Item, Verdict Outcome,
                        RefusalReason Reason) {
  RequestSample Sample;
  Sample.Caller = CallerName(Item.Route->Name);
  Sample.Rank = Rank(std::min<std::uint8_t>(Item.Route->Rank, MaxRankLabel));
  Sample.Verdict = Outcome;
  Sample.Reason = Reason;
  Sample.Elapsed = Time.now() - Item.Arrived;
  Values.record(Sample);
}

void EntryCalls::finish(std::uint64_t Id, HttpReply Reply) {
  const auto Found = Calls.find(Id);
  const std::shared_ptr<HttpExchange> Exchange =
      std::move(Found->second.Exchange);
  Calls.erase(Found);
  Exchange->reply(std::move(Reply));
}

void EntryCalls::onDeadline(std::uint64_t Id) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return;
  EntryCall &Item = Found->second;
  const std::uint64_t CallId = makeCall(Id, Item).Id;
  Network.cancel(Item.Node, CallId);
  // The gate may have started the request, so nothing is known about it.
  fail(Id, Item, 504, RefusalReason::Deadline);
}

void EntryCalls::onAbandoned(std::uint64_t Id) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return;
  const std::uint64_t CallId = makeCall(Id, Found->second).Id;
  Network.cancel(Found->second.Node, CallId);
  Calls.erase(Found);
}

void EntryCalls::logEnd(const EntryCall &Item, unsigned Status,
                        RefusalReason Reason) {
  Gate.onOutboundFailure(Item.Nested, callFailureOf(Reason, Status));
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
