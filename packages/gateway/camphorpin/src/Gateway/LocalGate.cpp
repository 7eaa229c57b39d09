#include "camphorpin/src/Gateway/LocalGate.h"

#include <algorithm>

namespace camphorpin {

namespace {

/// How often waiting requests are checked for having waited too long.
constexpr Duration QueueCheckInterval = Duration::millis(20);
/// How long a health check may take. A full backend server may leave it without
/// an answer for good.
constexpr Duration ProbeTimeout = Duration::seconds(2);
/// How long a backend server that refuses connections is left alone.
constexpr Duration UnreachablePause = Duration::millis(300);
/// Time after the deadline in which the backend server's own answer may still
/// arrive.
constexpr Duration DeadlineSlack = Duration::millis(50);
constexpr Duration ShortRetryAfter = Duration::millis(200);
/// When a request that crashes backend servers may come back.
constexpr Duration SuspectRetryAfter = Duration::seconds(5);

bool promisesNotRun(unsigned Status) {
  return Status == 503 || Status == 429 || Status == 408 || Status == 421;
}

} // namespace

LocalGate::LocalGate(EventLoop &Loop, const Clock &Time,
                     const GatewaySettings &Settings,
                     const PlatformProtocol &Protocol, EventLog &Log)
    : Loop(Loop), Time(Time), Settings(Settings), Protocol(Protocol), Log(Log),
      Ledger(Settings.BackendAddress.toString(), Settings.Service),
      Crashed(
          Loop, Time,
          ProcessId{Settings.PeerAddress,
                    static_cast<std::uint64_t>(Time.wallNow().wholeMillis())},
          Settings.BackendAddress),
      Pool(Loop, Settings.BackendAddress), QueueTimer(Loop) {
  Crashed.onCrash([this](std::size_t LostRuns, const PeerCrashes &Crashes) {
    onBackendCrash(LostRuns, Crashes);
  });
}

bool LocalGate::available() const {
  return Ledger.accepting() && !Draining && Time.now() >= UnreachableUntil;
}

GateStatus LocalGate::status() const {
  GateStatus Result = Control.status();
  Result.Available = available();
  Result.Leaving = Draining;
  return Result;
}

void LocalGate::probe() {
  if (Probing)
    return;
  Probing = Pool.acquire();
  ProbeStarted = Time.now();
  ExchangeCall Call;
  Call.Bytes = "GET " + HealthPath +
               " HTTP/1.1\r\nHost: " + Settings.BackendAddress.toString() +
               "\r\n\r\n";
  Probing->exchange(std::move(Call), [this](const ExchangeResult &Result) {
    const std::shared_ptr<HttpConnection> Connection = std::move(Probing);
    Probing = nullptr;
    if (Result.End != ExchangeEnd::Whole)
      return;
    Pool.release(Connection);
    afterLedgerChange(Ledger.onProbe(Protocol.probe(Result.Response)));
  });
}

void LocalGate::probeIfNeeded() {
  if (Probing && Time.now() - ProbeStarted >= ProbeTimeout) {
    Probing->close();
    Probing = nullptr;
  }
  if (Ledger.needsProbe())
    probe();
}

void LocalGate::onReport(const BackendReport &Report) {
  const BackendReport Before = Ledger.current();
  const bool Changed = Ledger.onReport(Report, Time.now());
  if (Ledger.current().Id != Before.Id)
    Pool.clear();
  if (!Ledger.current().sameIncarnation(Before))
    Control.onNewBackend();
  if (Report.Id == Ledger.current().Id)
    UnreachableUntil = Instant();
  afterLedgerChange(Changed);
  if (Changed)
    probeIfNeeded();
}

void LocalGate::onDeparture(const std::string &Id) {
  afterLedgerChange(Ledger.onGone(Id, Time.wallNow(), Time.now()));
}

void LocalGate::afterLedgerChange(bool Changed) {
  if (!Changed)
    return;
  const BackendReport &Backend = Ledger.current();
  Control.setSlots(std::max<std::uint32_t>(1, Backend.Slots));
  Log.write(LogEvent::BackendChanged,
            {{"backend", Backend.Id},
             {"phase", std::to_string(static_cast<int>(Backend.Phase))},
             {"slots", std::to_string(Backend.Slots)},
             {"sequence", std::to_string(Backend.Sequence)}});
  if (!available())
    refuseWaiting(RefusalReason::Draining);
  if (StatusChanged)
    StatusChanged();
  startWaiting();
}

void LocalGate::drain() {
  Draining = true;
  refuseWaiting(RefusalReason::Draining);
  if (StatusChanged)
    StatusChanged();
}

std::uint64_t LocalGate::submit(PeerCall Call, Reply Done) {
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
  Run &Item = Runs[RunId];
  Item.Deadline = Ticket.Deadline;
  Item.Call = std::move(Call);
  Item.Done = std::move(Done);
  if (!available() || Item.Call.Service != Settings.Service) {
    refuse(RunId, Draining ? RefusalReason::Draining : RefusalReason::NoBackend,
           ShortRetryAfter);
    return RunId;
  }
  const AdmissionResult Admission = Control.offer(Ticket, Now);
  if (Admission.Choice == AdmissionChoice::Start)
    start(RunId);
  else if (Admission.Choice == AdmissionChoice::Queue)
    armQueueTimer();
  else
    refuse(RunId, Admission.Reason, Admission.RetryAfter);
  return RunId;
}

std::string LocalGate::requestBytes(std::uint64_t RunId, const Run &Item) {
  const HeaderNames &Names = Protocol.headers();
  const Instant Now = Time.now();
  const std::int64_t LeftMillis =
      std::max<std::int64_t>(1, (Item.Deadline - Now).wholeMillis());
  Control.onDeadlineGiven(RunId, Now + Duration::millis(LeftMillis));
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
  Result += Item.Call.Body;
  return Result;
}

void LocalGate::start(std::uint64_t RunId) {
  Run &Item = Runs.at(RunId);
  const CrashChoice Choice = Crashed.start(RunId, Item.Call);
  if (Choice != CrashChoice::Start) {
    refuse(RunId, RefusalReason::CrashSuspect,
           Choice == CrashChoice::Isolate ? ShortRetryAfter
                                          : SuspectRetryAfter);
    return;
  }
  Item.Started = true;
  Item.StartTime = Time.now();
  Item.Backend = Ledger.current().Id;
  Item.Connection = Pool.acquire();
  ExchangeCall Call;
  Call.Bytes = requestBytes(RunId, Item);
  Call.HeadMethod = Item.Call.Head.starts_with("HEAD ");
  Call.Id = Item.Call.RequestId;
  Call.IdHeader = Protocol.headers().RequestId;
  Item.Timer = std::make_unique<boost::asio::steady_timer>(
      Loop, detail::timerSpan(Item.Deadline + DeadlineSlack - Time.now()));
  Item.Timer->async_wait([this, RunId](const boost::system::error_code &Error) {
    if (!Error)
      onRunDeadline(RunId);
  });
  Item.Connection->exchange(std::move(Call),
                            [this, RunId](ExchangeResult Result) {
                              onResult(RunId, std::move(Result));
                            });
}

void LocalGate::onRunDeadline(std::uint64_t RunId) {
  const auto Found = Runs.find(RunId);
  if (Found == Runs.end())
    return;
  Found->second.Connection->close();
  Crashed.end(RunId, /*Completed=*/false);
  PeerAnswer Answer;
  Answer.Outcome = CallOutcome::Failed;
  Answer.Reason = RefusalReason::Deadline;
  finish(RunId, std::move(Answer));
}

void LocalGate::onResult(std::uint64_t RunId, ExchangeResult Result) {
  const auto Found = Runs.find(RunId);
  if (Found == Runs.end())
    return;
  Run &Item = Found->second;
  PeerAnswer Answer = classify(Item, Result);
  if (Result.End == ExchangeEnd::Whole)
    Pool.release(Item.Connection);
  if (Result.End == ExchangeEnd::Lost)
    Crashed.onRunLost(RunId);
  else
    Crashed.end(RunId, Answer.Outcome == CallOutcome::Answered);
  finish(RunId, std::move(Answer));
}

void LocalGate::onBackendCrash(std::size_t LostRuns,
                               const PeerCrashes &Crashes) {
  UnreachableUntil = Time.now() + UnreachablePause;
  Log.write(LogEvent::BackendCrashed, {{"running", std::to_string(LostRuns)}});
  if (CrashFound && !Crashes.Notices.empty())
    CrashFound(Crashes);
}

PeerAnswer LocalGate::classify(const Run &Item, ExchangeResult &Result) {
  PeerAnswer Answer;
  switch (Result.End) {
  case ExchangeEnd::Whole:
    Answer = classifyWhole(Result.Response);
    if (Answer.Outcome == CallOutcome::Shed &&
        Result.Response.result_int() == 421) {
      Ledger.onIdentityMismatch(Item.Backend);
      if (StatusChanged)
        StatusChanged();
    }
    if (Answer.Outcome == CallOutcome::Answered)
      Answer.Body = std::move(Result.Response.body());
    break;
  case ExchangeEnd::NotSent:
    Answer.Outcome = CallOutcome::Refused;
    Answer.Reason = RefusalReason::NoBackend;
    Answer.RetryAfter = ShortRetryAfter;
    UnreachableUntil = Time.now() + UnreachablePause;
    break;
  case ExchangeEnd::Lost:
  case ExchangeEnd::Malformed:
    Answer.Outcome = CallOutcome::Failed;
    Answer.Reason = RefusalReason::BackendFailed;
    break;
  }
  return Answer;
}

PeerAnswer LocalGate::classifyWhole(const HttpResponse &Response) {
  const HeaderNames &Names = Protocol.headers();
  const unsigned Status = Response.result_int();
  PeerAnswer Answer;
  Answer.StatusCode = static_cast<std::uint16_t>(Status);
  const bool SaysNotRun =
      !detail::headerOf(Response, Names.NotRun).empty() || Status == 421;
  if (SaysNotRun) {
    Answer.Outcome = CallOutcome::Shed;
    Answer.Reason = RefusalReason::BackendShed;
    Answer.RetryAfter = ShortRetryAfter;
    return Answer;
  }
  const bool Stamped = !detail::headerOf(Response, Names.AnswerStamp).empty();
  const bool Encoded = !detail::headerOf(Response, "Content-Encoding").empty();
  // A status that promises "not run" must not reach the caller when the backend
  // server did not say so, and a success needs the server's own mark.
  if (promisesNotRun(Status) || Encoded || (Status / 100 == 2 && !Stamped)) {
    Answer.Outcome = CallOutcome::Failed;
    Answer.Reason = RefusalReason::BackendFailed;
    return Answer;
  }
  Answer.Outcome = CallOutcome::Answered;
  Answer.Head = detail::responseHead(Response);
  return Answer;
}

void LocalGate::finish(std::uint64_t RunId, PeerAnswer Answer) {
  const RefusalReason Cause = Control.end(RunId, Answer, Time.now());
  // Another backend server would need the same calls.
  if (Answer.Outcome == CallOutcome::Answered)
    Answer.Reason = Cause;
  deliver(RunId, std::move(Answer));
}

void LocalGate::deliver(std::uint64_t RunId, PeerAnswer Answer) {
  const auto Found = Runs.find(RunId);
  if (Found == Runs.end())
    return;
  logFailure(Found->second, Answer);
  Answer.Id = Found->second.Call.Id;
  Answer.RouteTime = Control.serviceTime(Found->second.Call.Route);
  Answer.Backend = Found->second.Backend;
  const Reply Done = std::move(Found->second.Done);
  Runs.erase(Found);
  startWaiting();
  Answer.Status = status();
  if (Done)
    Done(std::move(Answer));
}

void LocalGate::logFailure(const Run &Item, const PeerAnswer &Answer) {
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
             {"running", std::to_string(Control.running())},
             {"queued", std::to_string(Control.queued())},
             {"limit", std::to_string(Control.slots())},
             {"bound", std::to_string(static_cast<int>(
                           Control.routeLimit(Item.Call.Route)))}});
}

void LocalGate::refuse(std::uint64_t RunId, RefusalReason Reason,
                       Duration RetryAfter) {
  PeerAnswer Answer;
  Answer.Outcome = CallOutcome::Refused;
  Answer.Reason = Reason;
  Answer.RetryAfter = RetryAfter;
  Control.abandon(RunId, Time.now());
  deliver(RunId, std::move(Answer));
}

void LocalGate::refuseWaiting(RefusalReason Reason) {
  for (const SlotRequest &Ticket : Control.takeAll())
    refuse(Ticket.Id, Reason, ShortRetryAfter);
}

void LocalGate::startWaiting() {
  while (available()) {
    const std::optional<SlotRequest> Next = Control.takeNext(Time.now());
    if (!Next)
      return;
    start(Next->Id);
  }
}

void LocalGate::cancel(std::uint64_t RunId) {
  const auto Found = Runs.find(RunId);
  if (Found == Runs.end())
    return;
  Run &Item = Found->second;
  Item.Done = nullptr;
  if (Item.Started && !Item.Call.Idempotent)
    return;
  if (Item.Started) {
    Item.Connection->close();
    Crashed.end(RunId, /*Completed=*/false);
  }
  Control.abandon(RunId, Time.now());
  Runs.erase(Found);
  startWaiting();
}

void LocalGate::armQueueTimer() {
  if (QueueTimerArmed)
    return;
  QueueTimerArmed = true;
  QueueTimer.expires_after(detail::timerSpan(QueueCheckInterval));
  QueueTimer.async_wait([this](const boost::system::error_code &Error) {
    QueueTimerArmed = false;
    if (!Error)
      expireWaiting();
  });
}

void LocalGate::expireWaiting() {
  const Duration Wait = Control.estimatedWait();
  for (const SlotRequest &Ticket : Control.takeExpired(Time.now()))
    refuse(Ticket.Id, RefusalReason::Overloaded,
           std::max(ShortRetryAfter, Wait));
  if (Control.queued() > 0)
    armQueueTimer();
}

void LocalGate::tick() {
  Control.tick();
  Pool.prune();
  Crashed.tick();
  probeIfNeeded();
  startWaiting();
}

} // namespace camphorpin
