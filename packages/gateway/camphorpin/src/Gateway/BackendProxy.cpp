#include "camphorpin/src/Gateway/BackendProxy.h"

#include <algorithm>
#include <utility>

namespace camphorpin {

namespace {

/// Interval between checks for expired requests in the queue.
constexpr Duration QueueCheckInterval = Duration::millis(20);
/// Timeout of a health check. A fully loaded backend server may never answer
/// it.
constexpr Duration ProbeTimeout = Duration::seconds(2);
/// Delay before requests are sent again after the backend server refused a
/// connection or crashed.
constexpr Duration UnreachableRetryDelay = Duration::millis(300);
/// Time after the deadline during which a response of the backend server is
/// still accepted.
constexpr Duration DeadlineSlack = Duration::millis(50);
constexpr Duration DefaultRetryAfter = Duration::millis(200);
/// Retry-After of a request that is suspected to crash backend servers.
constexpr Duration SuspectRetryAfter = Duration::seconds(5);

/// Part of the node's memory for responses that are being received. Each is
/// copied two or three times until it has been forwarded.
constexpr std::size_t ResponseMemoryDivisor = 8;
/// Part of the node's memory for requests, and for answers to callers.
constexpr std::size_t MessageMemoryDivisor = 2;
/// Copies of a request's head that are held: in the call, and in the bytes that
/// are sent to the backend server.
constexpr std::size_t HeadCopies = 2;
/// Largest accepted body of the answer to a health check.
constexpr std::uint64_t MaxProbeBytes = 64U << 10U;

/// \returns true if HTTP clients take \p Status as a statement that the request
/// did not run. 421 means that the id of the backend server differs from the
/// one in the header HeaderNames::ExpectedBackend.
bool impliesNotRun(unsigned Status) {
  return Status == 503 || Status == 429 || Status == 408 || Status == 421;
}

} // namespace

BackendProxy::BackendProxy(EventLoop &Loop, const Clock &Time,
                           const GatewaySettings &Settings,
                           const PlatformProtocol &Protocol, EventLog &Log)
    : Loop(Loop), Time(Time), Settings(Settings), Protocol(Protocol), Log(Log),
      Tracker(Settings.BackendAddress.toString(), Settings.Service),
      Detector(
          Loop, Time,
          ProcessId{Settings.PeerAddress,
                    static_cast<std::uint64_t>(Time.wallNow().wholeMillis())},
          Settings.BackendAddress),
      Pool(Loop, Settings.BackendAddress,
           std::make_shared<ByteBudget>(Settings.MemoryBytes /
                                        ResponseMemoryDivisor)),
      MessageBudget(std::make_shared<ByteBudget>(Settings.MemoryBytes /
                                                 MessageMemoryDivisor)),
      QueueTimer(Loop) {
  Detector.setCrashListener(
      [this](std::size_t LostRuns, const PeerCrashes &Crashes) {
        onBackendCrash(LostRuns, Crashes);
      });
}

bool BackendProxy::available() const {
  return Tracker.accepting() && DeparturesKnown && !Draining &&
         Time.now() >= UnreachableUntil;
}

BackendStatus BackendProxy::status() const {
  BackendStatus Result = Admission.status();
  Result.Available = available();
  Result.Draining = Draining;
  return Result;
}

void BackendProxy::probe() {
  if (ProbeConnection)
    return;
  ProbeConnection = Pool.acquire();
  ProbeStarted = Time.now();
  ExchangeRequest Request;
  Request.Bytes = "GET " + HealthPath +
                  " HTTP/1.1\r\nHost: " + Settings.BackendAddress.toString() +
                  "\r\n\r\n";
  Request.IdHeader = Protocol.headers().RequestId;
  Request.MaxBodyBytes = MaxProbeBytes;
  ProbeConnection->exchange(
      std::move(Request), [this](const ExchangeResult &Result) {
        const std::shared_ptr<HttpConnection> Connection =
            std::move(ProbeConnection);
        ProbeConnection = nullptr;
        if (Result.Outcome != ExchangeOutcome::Complete)
          return;
        Pool.release(Connection);
        onTrackerChange(
            Tracker.onProbe(Protocol.parseHealthResponse(Result.Response)));
      });
}

void BackendProxy::probeIfNeeded() {
  if (ProbeConnection && Time.now() - ProbeStarted >= ProbeTimeout) {
    ProbeConnection->close();
    ProbeConnection = nullptr;
  }
  if (Tracker.needsProbe())
    probe();
}

void BackendProxy::onReport(const BackendReport &Report) {
  const BackendReport Before = Tracker.current();
  const bool Changed = Tracker.onReport(Report, Time.now());
  if (Tracker.current().Id != Before.Id)
    Pool.clear();
  if (!Tracker.current().sameIncarnation(Before)) {
    Admission.onNewBackend();
    if (!Before.Id.empty() && Before.Phase == BackendPhase::Ready)
      Detector.onServerReplaced();
  }
  if (Report.Id == Tracker.current().Id)
    UnreachableUntil = Instant();
  reportDepartures();
  onTrackerChange(Changed);
  if (Changed)
    probeIfNeeded();
}

void BackendProxy::onBackendDeparture(const std::string &Id) {
  const bool Changed = Tracker.onDeparture(Id, Time.wallNow(), Time.now());
  reportDepartures();
  onTrackerChange(Changed);
}

void BackendProxy::onTrackerChange(bool Changed) {
  if (!Changed)
    return;
  const BackendReport &Backend = Tracker.current();
  Admission.setSlots(std::max<std::uint32_t>(1, Backend.Slots));
  Log.write(LogEvent::BackendChanged,
            {{"backend", Backend.Id},
             {"phase", std::to_string(static_cast<int>(Backend.Phase))},
             {"slots", std::to_string(Backend.Slots)},
             {"sequence", std::to_string(Backend.Sequence)}});
  if (!available())
    refuseQueued(RefusalReason::Draining);
  if (StatusListener)
    StatusListener();
  startQueued();
}

void BackendProxy::restoreDepartures(
    std::span<const BackendDeparture> Earlier) {
  const bool Known = std::exchange(DeparturesKnown, true);
  const bool Changed = Tracker.restoreDepartures(Earlier);
  // The store lacks what was acknowledged or heard of before it answered.
  KnownDepartures.assign(Earlier.begin(), Earlier.end());
  reportDepartures();
  onTrackerChange(Changed || !Known);
}

void BackendProxy::addDepartures(std::span<const BackendDeparture> Earlier) {
  const bool Changed = Tracker.restoreDepartures(Earlier);
  reportDepartures();
  onTrackerChange(Changed);
}

void BackendProxy::reportDepartures() {
  std::vector<BackendDeparture> Departures = Tracker.departures();
  if (Departures == KnownDepartures)
    return;
  KnownDepartures = std::move(Departures);
  if (DepartureListener)
    DepartureListener(KnownDepartures);
}

void BackendProxy::drain() {
  Draining = true;
  refuseQueued(RefusalReason::Draining);
  if (StatusListener)
    StatusListener();
}

std::uint64_t BackendProxy::submit(PeerCall Call, AnswerCallback Done) {
  const std::uint64_t RunId = NextRun++;
  const Instant Now = Time.now();
  SlotRequest Ticket;
  Ticket.Id = RunId;
  Ticket.Route = Call.Route;
  Ticket.Rank = Call.Rank;
  Ticket.Nested = Call.Nested;
  Ticket.Objective = Call.Objective;
  Ticket.Age = Call.Age;
  Ticket.Deadline = Now + Call.TimeLeft;
  Run &Item = Runs.try_emplace(RunId, MessageBudget).first->second;
  Item.Deadline = Ticket.Deadline;
  Item.Call = std::move(Call);
  Item.Done = std::move(Done);
  if (!available() || Item.Call.Service != Settings.Service) {
    refuse(RunId, Draining ? RefusalReason::Draining : RefusalReason::NoBackend,
           DefaultRetryAfter);
    return RunId;
  }
  if (!Item.Held.resize(Item.Call.Head.size() * HeadCopies +
                        Item.Call.Body.uncountedBytes())) {
    refuse(RunId, RefusalReason::NodeBusy, DefaultRetryAfter);
    return RunId;
  }
  const AdmissionResult Decision = Admission.offer(Ticket, Now);
  if (Decision.Choice == AdmissionChoice::Start)
    start(RunId);
  else if (Decision.Choice == AdmissionChoice::Queue)
    armQueueTimer();
  else
    refuse(RunId, Decision.Reason, Decision.RetryAfter);
  return RunId;
}

std::string BackendProxy::requestHead(std::uint64_t RunId, const Run &Item) {
  const HeaderNames &Names = Protocol.headers();
  const Instant Now = Time.now();
  const std::int64_t LeftMillis =
      std::max<std::int64_t>(1, (Item.Deadline - Now).wholeMillis());
  Admission.onRunStart(RunId, Now + Duration::millis(LeftMillis));
  std::string Result = Item.Call.Head;
  Result += detail::headerLine(Names.Deadline, std::to_string(LeftMillis));
  Result += detail::headerLine(Names.ExpectedBackend, Item.Backend);
  const bool HasBody = !Item.Call.Body.empty() ||
                       Item.Call.Head.starts_with("POST ") ||
                       Item.Call.Head.starts_with("PUT ") ||
                       Item.Call.Head.starts_with("PATCH ");
  if (HasBody)
    Result += detail::headerLine("Content-Length",
                                 std::to_string(Item.Call.Body.size()));
  Result += "\r\n";
  return Result;
}

void BackendProxy::start(std::uint64_t RunId) {
  Run &Item = Runs.at(RunId);
  const CrashDecision Choice = Detector.start(RunId, Item.Call);
  if (Choice != CrashDecision::Start) {
    // Isolate: another suspect is running, and this request may start once it
    // has ended. Refuse: the request has crashed too many backend servers.
    refuse(RunId, RefusalReason::CrashSuspect,
           Choice == CrashDecision::Defer ? DefaultRetryAfter
                                          : SuspectRetryAfter);
    return;
  }
  Item.Started = true;
  Item.StartTime = Time.now();
  Item.Backend = Tracker.current().Id;
  Item.Connection = Pool.acquire(Item.Call.RequestId);
  ExchangeRequest Request;
  Request.Bytes = requestHead(RunId, Item);
  Request.Body = Item.Call.Body;
  Request.IsHeadRequest = Item.Call.Head.starts_with("HEAD ");
  Request.Id = Item.Call.RequestId;
  Request.IdHeader = Protocol.headers().RequestId;
  Item.Timer = std::make_unique<boost::asio::steady_timer>(
      Loop, detail::timerSpan(Item.Deadline + DeadlineSlack - Time.now()));
  Item.Timer->async_wait([this, RunId](const boost::system::error_code &Error) {
    if (!Error)
      onRunDeadline(RunId);
  });
  Item.Connection->exchange(std::move(Request),
                            [this, RunId](ExchangeResult Result) {
                              onResult(RunId, std::move(Result));
                            });
}

void BackendProxy::onRunDeadline(std::uint64_t RunId) {
  const auto Found = Runs.find(RunId);
  if (Found == Runs.end())
    return;
  Found->second.Connection->close();
  Detector.end(RunId, /*Completed=*/false);
  PeerAnswer Answer;
  Answer.Outcome = CallOutcome::Failed;
  Answer.Reason = RefusalReason::Deadline;
  finish(RunId, std::move(Answer));
}

void BackendProxy::onResult(std::uint64_t RunId, ExchangeResult Result) {
  const auto Found = Runs.find(RunId);
  if (Found == Runs.end())
    return;
  Run &Item = Found->second;
  PeerAnswer Answer = classify(Item, Result);
  if (Answer.Outcome == CallOutcome::Shed)
    Item.Connection->addRefusedId(Item.Call.RequestId);
  if (Result.Outcome == ExchangeOutcome::Complete)
    Pool.release(Item.Connection);
  if (Result.Outcome == ExchangeOutcome::ConnectionLost)
    Detector.onRunLost(RunId, Item.StartTime);
  else
    Detector.end(RunId, Answer.Outcome == CallOutcome::Answered);
  finish(RunId, std::move(Answer));
}

void BackendProxy::onBackendCrash(std::size_t LostRuns,
                                  const PeerCrashes &Crashes) {
  UnreachableUntil = Time.now() + UnreachableRetryDelay;
  Log.write(LogEvent::BackendCrashed, {{"running", std::to_string(LostRuns)}});
  if (CrashListener && !Crashes.Notices.empty())
    CrashListener(Crashes);
}

PeerAnswer BackendProxy::classify(const Run &Item, ExchangeResult &Result) {
  PeerAnswer Answer;
  switch (Result.Outcome) {
  case ExchangeOutcome::Complete:
    Answer = classifyResponse(Result.Response);
    if (Answer.Outcome == CallOutcome::Shed &&
        Result.Response.result_int() == 421) {
      // Another backend server answers at this address.
      const BackendReport &Current = Tracker.current();
      if (Item.Backend == Current.Id && Current.Phase == BackendPhase::Ready)
        Detector.onServerReplaced();
      Tracker.onIdentityMismatch(Item.Backend);
      if (StatusListener)
        StatusListener();
    }
    if (Answer.Outcome == CallOutcome::Answered)
      Answer.Body = std::move(Result.Response.body());
    break;
  case ExchangeOutcome::NotSent:
    Answer.Outcome = CallOutcome::Refused;
    Answer.Reason = RefusalReason::NoBackend;
    Answer.RetryAfter = DefaultRetryAfter;
    UnreachableUntil = Time.now() + UnreachableRetryDelay;
    break;
  case ExchangeOutcome::ConnectionLost:
  case ExchangeOutcome::Malformed:
    Answer.Outcome = CallOutcome::Failed;
    Answer.Reason = RefusalReason::BackendFailed;
    break;
  }
  return Answer;
}

PeerAnswer BackendProxy::classifyResponse(const HttpResponse &Response) {
  const HeaderNames &Names = Protocol.headers();
  const unsigned Status = Response.result_int();
  PeerAnswer Answer;
  Answer.StatusCode = static_cast<std::uint16_t>(Status);
  const bool SaysNotRun =
      !detail::headerOf(Response, Names.NotRun).empty() || Status == 421;
  if (SaysNotRun) {
    Answer.Outcome = CallOutcome::Shed;
    Answer.Reason = RefusalReason::BackendShed;
    Answer.RetryAfter = DefaultRetryAfter;
    return Answer;
  }
  const bool Stamped = !detail::headerOf(Response, Names.ResponseStamp).empty();
  const bool Encoded = !detail::headerOf(Response, "Content-Encoding").empty();
  // A status that implies "not run" must not reach the caller without an
  // explicit statement of the backend server. A 2xx response must carry the
  // backend server's stamp, and encoded responses are not accepted.
  if (impliesNotRun(Status) || Encoded || (Status / 100 == 2 && !Stamped)) {
    Answer.Outcome = CallOutcome::Failed;
    Answer.Reason = RefusalReason::BackendFailed;
    return Answer;
  }
  Answer.Outcome = CallOutcome::Answered;
  Answer.Head = detail::responseHead(Response);
  return Answer;
}

void BackendProxy::finish(std::uint64_t RunId, PeerAnswer Answer) {
  const RefusalReason Cause = Admission.end(RunId, Answer, Time.now());
  // If the failure of a nested call caused this response, the reason says so,
  // and the caller's node doesn't retry: another backend server would need the
  // same call.
  if (Answer.Outcome == CallOutcome::Answered)
    Answer.Reason = Cause;
  deliver(RunId, std::move(Answer));
}

void BackendProxy::deliver(std::uint64_t RunId, PeerAnswer Answer) {
  const auto Found = Runs.find(RunId);
  if (Found == Runs.end())
    return;
  logFailure(Found->second, Answer);
  Answer.Id = Found->second.Call.Id;
  Answer.RouteTime = Admission.serviceTime(Found->second.Call.Route);
  Answer.Backend = Found->second.Backend;
  const AnswerCallback Done = std::move(Found->second.Done);
  Runs.erase(Found);
  startQueued();
  Answer.Status = status();
  if (Done)
    Done(std::move(Answer));
}

void BackendProxy::logFailure(const Run &Item, const PeerAnswer &Answer) {
  if (Answer.Outcome == CallOutcome::Answered && Answer.StatusCode < 500)
    return;
  const Duration Elapsed =
      Item.Started ? Time.now() - Item.StartTime : Duration();
  Log.write(LogEvent::RunFailed,
            {{"request", Item.Call.RequestId},
             {"route", Item.Call.Route},
             {"backend", Item.Backend},
             {"reason", std::string(toString(Answer.Reason))},
             {"status", std::to_string(Answer.StatusCode)},
             {"verdict", std::string(toString(Answer.verdict()))},
             {"runMs", std::to_string(Elapsed.wholeMillis())},
             {"running", std::to_string(Admission.running())},
             {"queued", std::to_string(Admission.queued())},
             {"limit", std::to_string(Admission.limit())},
             {"bound", std::to_string(static_cast<int>(
                           Admission.routeLimit(Item.Call.Route)))}});
}

void BackendProxy::refuse(std::uint64_t RunId, RefusalReason Reason,
                          Duration RetryAfter) {
  PeerAnswer Answer;
  Answer.Outcome = CallOutcome::Refused;
  Answer.Reason = Reason;
  Answer.RetryAfter = RetryAfter;
  Admission.abandon(RunId, Time.now());
  deliver(RunId, std::move(Answer));
}

void BackendProxy::refuseQueued(RefusalReason Reason) {
  for (const SlotRequest &Ticket : Admission.takeAll())
    refuse(Ticket.Id, Reason, DefaultRetryAfter);
}

void BackendProxy::startQueued() {
  while (available()) {
    const std::optional<SlotRequest> Next = Admission.takeNext(Time.now());
    if (!Next)
      return;
    start(Next->Id);
  }
}

void BackendProxy::cancel(std::uint64_t RunId) {
  const auto Found = Runs.find(RunId);
  if (Found == Runs.end())
    return;
  Run &Item = Found->second;
  Item.Done = nullptr;
  if (Item.Started && !Item.Call.Idempotent)
    return;
  if (Item.Started) {
    Item.Connection->close();
    Detector.end(RunId, /*Completed=*/false);
  }
  Admission.abandon(RunId, Time.now());
  Runs.erase(Found);
  startQueued();
}

void BackendProxy::armQueueTimer() {
  if (QueueTimerArmed)
    return;
  QueueTimerArmed = true;
  QueueTimer.expires_after(detail::timerSpan(QueueCheckInterval));
  QueueTimer.async_wait([this](const boost::system::error_code &Error) {
    QueueTimerArmed = false;
    if (!Error)
      expireQueued();
  });
}

void BackendProxy::expireQueued() {
  const Duration Wait = Admission.estimatedWait();
  for (const SlotRequest &Ticket : Admission.takeExpired(Time.now()))
    refuse(Ticket.Id, RefusalReason::Overloaded,
           std::max(DefaultRetryAfter, Wait));
  if (Admission.queued() > 0)
    armQueueTimer();
}

void BackendProxy::tick() {
  Admission.tick();
  Pool.prune();
  Detector.tick();
  probeIfNeeded();
  startQueued();
}

} // namespace camphorpin
