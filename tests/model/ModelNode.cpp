#include "ModelNode.h"

#include <algorithm>

namespace camphorpin::model {

namespace {

/// The final answer is given a little before the operator's timeout, as
/// OutboundHandler does.
constexpr Duration AnswerMargin = Duration::millis(10);
/// How often waiting calls are checked, as BackendProxy does.
constexpr Duration ExpiryInterval = Duration::millis(20);
constexpr Duration ShortRetryAfter = Duration::millis(200);
constexpr Duration DefaultRetryAfter = Duration::millis(250);
/// Random part of Retry-After, as in OutboundHandler.
constexpr double RetryAfterSpread = 0.5;
/// Bits of a call's id that count the calls of one node.
constexpr unsigned CallBits = 32;

PeerAnswer answerOf(unsigned Status) {
  PeerAnswer Result;
  Result.StatusCode = static_cast<std::uint16_t>(Status);
  if (Status == 503) {
    Result.Outcome = CallOutcome::Shed;
    Result.Reason = RefusalReason::BackendShed;
    Result.RetryAfter = ShortRetryAfter;
  } else {
    Result.Outcome = CallOutcome::Answered;
  }
  return Result;
}

} // namespace

ModelNode::ModelNode(Fleet &Owner, std::size_t Index, std::size_t Zone,
                     const ServiceSpec &Service, double Speed)
    : Owner(Owner), Index(Index), Zone(Zone),
      Worker(Owner.Events, Owner.Source, Owner.System, Service, Speed),
      Selector(Owner.Source), Budget(Owner.Budget) {
  Control.setSlots(Service.Slots);
  Worker.useCalls(*this);
}

BackendStatus ModelNode::status() const {
  BackendStatus Result = Control.status();
  Result.Available = true;
  return Result;
}

Duration ModelNode::delayTo(const ModelNode &Other) const {
  if (&Other == this)
    return Duration();
  return Other.Zone == Zone ? Owner.System.SameZoneDelay
                            : Owner.System.OtherZoneDelay;
}

// The gate.

void ModelNode::submit(std::uint64_t Id, PeerCall Call, const RouteSpec &Route,
                       Reply Handler) {
  const Instant Now = Owner.Events.now();
  SlotRequest Ticket;
  Ticket.Id = Id;
  Ticket.Route = Call.Route;
  Ticket.Rank = Call.Rank;
  Ticket.Nested = Call.Nested;
  Ticket.Objective = Call.Objective;
  Ticket.Age = Call.Age;
  Ticket.Deadline = Now + Call.TimeLeft;
  GateCall &Item = Calls[Id];
  Item.Deadline = Ticket.Deadline;
  Item.Call = std::move(Call);
  Item.Route = &Route;
  Item.Handler = std::move(Handler);
  const AdmissionResult Admission = Control.offer(Ticket, Now);
  if (Admission.Choice == AdmissionChoice::Start) {
    start(Id);
  } else if (Admission.Choice == AdmissionChoice::Refuse) {
    refuse(Id, Admission.Reason, Admission.RetryAfter);
  } else if (!ExpiryArmed) {
    ExpiryArmed = true;
    Owner.Events.after(ExpiryInterval, [this] { expireWaiting(); });
  }
}

void ModelNode::start(std::uint64_t Id) {
  GateCall &Item = Calls.at(Id);
  const Instant Now = Owner.Events.now();
  const Duration Left = Duration::millis(
      std::max<std::int64_t>(1, (Item.Deadline - Now).wholeMillis()));
  Control.onRunStart(Id, Now + Left);
  Item.Run = Worker.run(*Item.Route, Left,
                        [this, Id](unsigned Status) { onRunEnd(Id, Status); });
}

void ModelNode::startWaiting() {
  while (const std::optional<SlotRequest> Next =
             Control.takeNext(Owner.Events.now()))
    start(Next->Id);
}

void ModelNode::expireWaiting() {
  ExpiryArmed = false;
  const Duration Wait = std::max(ShortRetryAfter, Control.estimatedWait());
  for (const SlotRequest &Ticket : Control.takeExpired(Owner.Events.now()))
    refuse(Ticket.Id, RefusalReason::Overloaded, Wait);
  if (Control.queued() == 0 || ExpiryArmed)
    return;
  ExpiryArmed = true;
  Owner.Events.after(ExpiryInterval, [this] { expireWaiting(); });
}

void ModelNode::refuse(std::uint64_t Id, RefusalReason Reason,
                       Duration RetryAfter) {
  Control.abandon(Id, Owner.Events.now());
  PeerAnswer Answer;
  Answer.Outcome = CallOutcome::Refused;
  Answer.Reason = Reason;
  Answer.RetryAfter = RetryAfter;
  answer(Id, std::move(Answer));
}

void ModelNode::onRunEnd(std::uint64_t Id, unsigned Status) {
  PeerAnswer Answer = answerOf(Status);
  const RefusalReason Cause = Control.end(Id, Answer, Owner.Events.now());
  if (Answer.Outcome == CallOutcome::Answered)
    Answer.Reason = Cause;
  answer(Id, std::move(Answer));
}

void ModelNode::answer(std::uint64_t Id, PeerAnswer Answer) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return;
  Answer.RouteTime = Control.serviceTime(Found->second.Call.Route);
  const Reply Handler = std::move(Found->second.Handler);
  Calls.erase(Found);
  startWaiting();
  Answer.Status = status();
  Handler(std::move(Answer));
}

void ModelNode::cancelCall(std::uint64_t Id) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return;
  if (Found->second.Run != 0 && !Found->second.Call.Idempotent) {
    Found->second.Handler = [](const PeerAnswer &) {};
    return;
  }
  if (Found->second.Run != 0)
    Worker.cancel(Found->second.Run);
  Control.abandon(Id, Owner.Events.now());
  Calls.erase(Found);
  startWaiting();
}

// The entry.

std::uint64_t ModelNode::request(const RouteSpec &Route, Duration TimeLeft,
                                 Done Handler) {
  const std::uint64_t Id = NextRequest++;
  const Instant Now = Owner.Events.now();
  const Duration Left = std::min(TimeLeft, Route.Timeout - AnswerMargin);
  Entry &Item = Requests[Id];
  Item.Route = &Route;
  Item.Handler = std::move(Handler);
  Item.Arrived = Now;
  Item.Deadline = Now + Left;
  Item.Nested = Control.onOutboundRequest(Route.Name, Now + TimeLeft);
  Budget.onRequest(Route.Service, Now);
  Owner.Events.after(Left, [this, Id] {
    const auto Found = Requests.find(Id);
    if (Found == Requests.end())
      return;
    ModelNode &Target = *Owner.Nodes[Found->second.Target];
    Target.cancelCall(Found->second.Call);
    finish(Id, 504, RefusalReason::Deadline);
  });
  // The sender gets the end in a later turn, as over a connection.
  Owner.Events.after(Duration(), [this, Id] {
    const auto Found = Requests.find(Id);
    if (Found != Requests.end() && !attempt(Id, Found->second))
      finish(Id, 503, RefusalReason::NoBackend);
  });
  return Id;
}

std::uint64_t ModelNode::call(const RouteSpec &Route, Duration TimeLeft,
                              std::function<void(unsigned)> Handler) {
  return request(Route, std::min(TimeLeft, Route.Deadline),
                 [Handler = std::move(Handler)](const RequestEnd &End) {
                   Handler(End.Status);
                 });
}

void ModelNode::leave(std::uint64_t Request) {
  const auto Found = Requests.find(Request);
  if (Found == Requests.end())
    return;
  ModelNode &Target = *Owner.Nodes[Found->second.Target];
  const std::uint64_t Call = Found->second.Call;
  Requests.erase(Found);
  Owner.Events.after(delayTo(Target),
                     [&Target, Call] { Target.cancelCall(Call); });
}

PeerCall ModelNode::makeCall(const Entry &Item) const {
  const Instant Now = Owner.Events.now();
  PeerCall Call;
  Call.Route = Item.Route->Name;
  Call.Service = Item.Route->Service;
  Call.Idempotent = Item.Route->Idempotent;
  Call.Rank = Item.Route->Rank;
  Call.TimeLeft = Item.Deadline - Now;
  Call.Objective = Item.Route->Objective;
  Call.Age = Now - Item.Arrived;
  Call.Nested = Item.Nested;
  return Call;
}

bool ModelNode::attempt(std::uint64_t Id, Entry &Item) {
  Views.resize(Owner.Nodes.size());
  std::vector<PeerCandidate> Candidates;
  std::vector<std::size_t> Indexes;
  for (std::size_t Other = 0; Other < Owner.Nodes.size(); ++Other) {
    const ModelNode &Peer = *Owner.Nodes[Other];
    if (Peer.service() != Item.Route->Service)
      continue;
    PeerCandidate Candidate;
    Candidate.SameZone = Peer.Zone == Zone;
    Candidate.Local = Other == Index;
    Candidate.StatusKnown = Candidate.Local || Views[Other].Known;
    Candidate.Status = Candidate.Local ? status() : Views[Other].Status;
    Candidate.StatusAge =
        Candidate.Local ? Duration() : Owner.Events.now() - Views[Other].At;
    Candidate.Outstanding = Views[Other].Outstanding;
    Candidate.RouteTime = Views[Other].RouteTimes[Item.Route->Name];
    Candidate.Tried = std::find(Item.Tried.begin(), Item.Tried.end(), Other) !=
                      Item.Tried.end();
    Candidates.push_back(std::move(Candidate));
    Indexes.push_back(Other);
  }
  const std::optional<std::size_t> Best = Selector.choose(
      Candidates, {Item.Route->Rank, Item.Route->Objective, Item.Route->Bytes});
  if (!Best)
    return false;
  Item.Target = Indexes[*Best];
  Item.Tried.push_back(Item.Target);
  Item.Call = (static_cast<std::uint64_t>(Index) << CallBits) | NextCall++;
  ++Views[Item.Target].Outstanding;
  ModelNode &Target = *Owner.Nodes[Item.Target];
  const auto Reply = [this, &Target, Id](PeerAnswer Answer) {
    Owner.Events.after(Target.delayTo(*this),
                       [this, &Target, Id, Answer = std::move(Answer)] {
                         onAnswer(Id, Target.Index, Answer);
                       });
  };
  Owner.Events.after(delayTo(Target),
                     [&Target, CallId = Item.Call, Call = makeCall(Item),
                      Route = Item.Route,
                      Reply] { Target.submit(CallId, Call, *Route, Reply); });
  return true;
}

void ModelNode::onAnswer(std::uint64_t Id, std::size_t From,
                         PeerAnswer Answer) {
  View &Seen = Views[From];
  Seen.Status = Answer.Status;
  Seen.Known = true;
  Seen.At = Owner.Events.now();
  --Seen.Outstanding;
  const auto Found = Requests.find(Id);
  if (Found == Requests.end())
    return;
  Entry &Item = Found->second;
  if (Answer.RouteTime > Duration())
    Seen.RouteTimes[Item.Route->Name] = Answer.RouteTime;
  const Instant Now = Owner.Events.now();
  Answer.Outcome == CallOutcome::Refused ? ++Item.Refusals : ++Item.Sends;
  Item.MayHaveRun = Item.MayHaveRun || Answer.verdict() != Verdict::NotRun;
  Item.RetryAfter = Item.RetryAfter == Duration()
                        ? Answer.RetryAfter
                        : std::min(Item.RetryAfter, Answer.RetryAfter);
  RequestProgress Facts;
  Facts.Nested = Item.Nested;
  Facts.Idempotent = Item.Route->Idempotent;
  Facts.MaxAttempts = Item.Route->MaxAttempts;
  Facts.BackendSends = Item.Sends;
  Facts.Refusals = Item.Refusals;
  Facts.Elapsed = Now - Item.Arrived;
  Facts.TimeLeft = Item.Deadline - Now;
  Facts.Objective = Item.Route->Objective;
  NextStep Step = AttemptPolicy::next(Facts, Answer);
  if (Step == NextStep::Retry &&
      !Budget.tryRetry(Item.Route->Service, Answer.Status.MakesNestedCalls,
                       Owner.Nodes.size(), Now))
    Step = AttemptPolicy::withoutBudget(Answer);
  act(Id, Item, Step, std::move(Answer));
}

void ModelNode::act(std::uint64_t Id, Entry &Item, NextStep Step,
                    PeerAnswer &&Answer) {
  switch (Step) {
  case NextStep::Deliver:
    finish(Id, Answer.StatusCode, Answer.Reason);
    return;
  case NextStep::TryAnotherNode:
  case NextStep::Retry:
    if (!attempt(Id, Item))
      finish(Id, Item.MayHaveRun ? 502 : 503, Answer.Reason);
    return;
  case NextStep::RefuseNotRun:
    finish(Id, Item.MayHaveRun ? 502 : 503, Answer.Reason);
    return;
  case NextStep::FailMayHaveRun:
    finish(Id, 502, Answer.Reason);
    return;
  }
}

void ModelNode::finish(std::uint64_t Id, unsigned Status,
                       RefusalReason Reason) {
  const auto Found = Requests.find(Id);
  const Entry Item = std::move(Found->second);
  Requests.erase(Found);
  if (Status >= 500)
    Control.onOutboundFailure(Item.Nested, classifyFailure(Reason, Status),
                              Owner.Events.now());
  RequestEnd End;
  End.Status = Status;
  const Duration Base =
      Item.RetryAfter == Duration() ? DefaultRetryAfter : Item.RetryAfter;
  End.RetryAfter = Base * (1 + RetryAfterSpread * Owner.Source.uniform01());
  Item.Handler(End);
}

} // namespace camphorpin::model
