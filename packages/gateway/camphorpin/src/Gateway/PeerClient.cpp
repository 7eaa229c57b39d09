#include "camphorpin/src/Gateway/PeerClient.h"

#include <algorithm>

namespace camphorpin {

namespace {

/// Interval between checks of a connection with outstanding calls.
constexpr Duration CheckInterval = Duration::millis(75);
/// Time without a received frame after which a ping is sent. It is several
/// round trips in one region.
constexpr Duration PingIdleTime = Duration::millis(150);
/// Time to wait for a frame after a ping or poll before the connection is
/// replaced. A peer on a slow host still answers in this time.
constexpr Duration FrameTimeout = Duration::millis(300);
/// Time that a call waits for a connection before another node is tried. The
/// most urgent requests have a deadline of only a few hundred milliseconds.
constexpr Duration UnsentTimeout = Duration::millis(120);
/// Timeout of connecting and receiving the peer's hello.
constexpr Duration ConnectTimeout = Duration::millis(700);
constexpr Duration MinReconnectDelay = Duration::millis(100);
constexpr Duration MaxReconnectDelay = Duration::seconds(2);
/// Largest body that is sent with its call, in bytes.
constexpr std::size_t MaxInlineBodyBytes = std::size_t(64) << 10U;
/// Unsent bytes above which no further part of a body is sent.
constexpr std::size_t MaxUnsentPartBytes = std::size_t(1) << 20U;

} // namespace

PeerClient::PeerClient(EventLoop &Loop, const Clock &Time, std::string Node,
                       const HostAddress &Address, PeerClientListener &Listener)
    : Loop(Loop), Time(Time), Node(std::move(Node)), Address(Address),
      Listener(Listener), Timer(Loop), LastUse(Time.now()) {}

PeerClient::~PeerClient() {
  *Alive = false;
  if (Channel)
    Channel->close();
}

void PeerClient::open() {
  if (State == ConnectionState::Idle)
    connect();
}

void PeerClient::connect() {
  State = ConnectionState::Connecting;
  ConnectStarted = Time.now();
  const std::uint64_t AttemptId = ++ConnectAttemptId;
  const auto Socket = std::make_shared<TcpSocket>(Loop);
  Socket->async_connect(detail::endpointOf(Address),
                        [this, Guard = Alive, Socket,
                         AttemptId](const boost::system::error_code &Error) {
                          if (!*Guard || AttemptId != ConnectAttemptId ||
                              State != ConnectionState::Connecting)
                            return;
                          if (Error)
                            onConnectFailed();
                          else
                            onConnected(std::move(*Socket));
                        });
  armTimer(CheckInterval);
}

void PeerClient::onConnected(TcpSocket Socket) {
  if (Channel)
    Channel->close();
  // A peer asks again on a new connection.
  Ranges.clear();
  Channel = std::make_shared<PeerChannel>(std::move(Socket));
  Channel->start(*this);
  Channel->send(Listener.hello());
  for (const PeerFrame &Item : Listener.greeting(Node))
    Channel->send(Item);
}

void PeerClient::onConnectFailed() {
  ++ConnectAttemptId;
  if (Channel)
    Channel->close();
  Channel.reset();
  State = ConnectionState::Backoff;
  ConnectingSlowly = false;
  Status.Available = false;
  ++Failures;
  failCalls(/*PeerEnded=*/false);
  const double Factor = 1U << std::min(Failures, 5U);
  armTimer(std::min(MaxReconnectDelay, MinReconnectDelay * Factor));
}

void PeerClient::onClosed() {
  // Either the peer process or only the connection has ended; the hello on a
  // new connection tells which.
  Channel.reset();
  AwaitingFrame = false;
  if (State == ConnectionState::Connecting) {
    onConnectFailed();
    return;
  }
  if (Calls.empty()) {
    // Reconnect without waiting for a call, so that the status of the peer is
    // known when it is next needed and a restarted peer receives updates.
    State = ConnectionState::Backoff;
    StatusKnown = false;
    armTimer(MinReconnectDelay);
    return;
  }
  connect();
}

void PeerClient::onHello(const PeerHello &Hello) {
  if (Hello.Node != Node) {
    onNodeMismatch();
    return;
  }
  const bool PeerEnded = Incarnation != 0 && Hello.Incarnation != Incarnation;
  Incarnation = Hello.Incarnation;
  State = ConnectionState::Open;
  ConnectingSlowly = false;
  Failures = 0;
  updateStatus(Hello.Status);
  AwaitingFrame = false;
  if (PeerEnded)
    failCalls(/*PeerEnded=*/true);
  for (auto &[Id, Item] : Calls)
    writeCall(Item);
  Listener.onDigest(Node, Hello.Digest);
  if (!Calls.empty())
    armTimer(CheckInterval);
}

void PeerClient::updateStatus(const BackendStatus &Received) {
  Status = Received;
  StatusKnown = true;
  StatusTime = Time.now();
}

void PeerClient::onNodeMismatch() {
  // The host was removed, and its address was reassigned.
  const bool WasKnown = Incarnation != 0;
  Incarnation = 0;
  StatusKnown = false;
  if (WasKnown)
    failCalls(/*PeerEnded=*/true);
  onConnectFailed();
}

void PeerClient::onFrame(PeerFrame Frame) {
  LastReceived = Time.now();
  AwaitingFrame = false;
  if (auto *Answer = std::get_if<PeerAnswer>(&Frame))
    onAnswer(std::move(*Answer));
  else if (const auto *Hello = std::get_if<PeerHello>(&Frame))
    onHello(*Hello);
  else if (const auto *Range = std::get_if<PeerBodyRequest>(&Frame))
    onBodyRequest(*Range);
  else if (const auto *Value = std::get_if<BackendStatus>(&Frame))
    updateStatus(*Value);
  else if (auto *Update = std::get_if<PeerUpdate>(&Frame))
    Listener.onUpdate(Node, std::move(*Update));
  else if (const auto *Request = std::get_if<PeerUpdateRequest>(&Frame))
    send(Listener.makeUpdate(*Request));
  else if (const auto *Received = std::get_if<PeerDigest>(&Frame))
    Listener.onDigest(Node, *Received);
  else if (const auto *Poll = std::get_if<PeerPoll>(&Frame))
    send(Listener.onPoll(Node, Poll->Digest));
  else if (const auto *Polled = std::get_if<PeerPollAnswer>(&Frame))
    Listener.onPollAnswer(Node, *Polled);
  else if (const auto *Crashes = std::get_if<PeerCrashes>(&Frame))
    Listener.onCrashes(*Crashes);
  else if (const auto *Departed = std::get_if<DepartureNotice>(&Frame))
    Listener.onDepartures(*Departed);
}

void PeerClient::onAnswer(PeerAnswer Answer) {
  updateStatus(Answer.Status);
  PeerDigest Received;
  Received.Configuration = Answer.Configuration;
  const auto Found = Calls.find(Answer.Id);
  if (Found != Calls.end()) {
    if (!Found->second.Call.Idempotent)
      PendingAcks.push_back(Answer.Id);
    const AnswerCallback Done = std::move(Found->second.Done);
    Calls.erase(Found);
    Done(std::move(Answer));
  }
  Listener.onDigest(Node, Received);
}

void PeerClient::call(PeerCall Call, AnswerCallback Done) {
  const std::uint64_t Id = Call.Id;
  Pending &Item = Calls[Id];
  Item.Submitted = Time.now();
  LastUse = Item.Submitted;
  Item.Deadline = Item.Submitted + Call.TimeLeft;
  Item.Call = std::move(Call);
  Item.Done = std::move(Done);
  if (State == ConnectionState::Open) {
    if (Calls.size() == 1) {
      LastReceived = Time.now();
      armTimer(CheckInterval);
    }
    writeCall(Item);
  } else {
    open();
  }
}

void PeerClient::writeCall(Pending &Item) {
  Item.SentIncarnation = Incarnation;
  if (!PendingAcks.empty()) {
    Channel->send(PeerAck{std::move(PendingAcks)});
    PendingAcks.clear();
  }
  Item.Call.TimeLeft =
      std::max(Duration::millis(1), Item.Deadline - Time.now());
  if (Item.Call.Body.size() <= MaxInlineBodyBytes) {
    Channel->send(Item.Call);
    return;
  }
  PeerLargeCall Large{Item.Call, Item.Call.Body.size()};
  Large.Call.Body = SharedBody();
  Channel->send(Large);
}

void PeerClient::onBodyRequest(const PeerBodyRequest &Request) {
  // The parts of one body are sent in order.
  const auto Earlier = std::find_if(
      Ranges.begin(), Ranges.end(), [&Request](const BodyRange &Range) {
        return Range.Id == Request.Id && Range.UpTo == Request.From;
      });
  if (Earlier != Ranges.end())
    Earlier->UpTo = Request.UpTo;
  else
    Ranges.push_back({Request.Id, Request.From, Request.UpTo});
  sendParts();
}

void PeerClient::sendParts() {
  while (State == ConnectionState::Open && !Ranges.empty() &&
         Channel->unsent() < MaxUnsentPartBytes) {
    BodyRange Range = Ranges.front();
    Ranges.pop_front();
    if (sendPart(Range))
      Ranges.push_back(Range);
  }
}

bool PeerClient::sendPart(BodyRange &Range) {
  const auto Found = Calls.find(Range.Id);
  if (Found == Calls.end())
    return false;
  const SharedBody &Body = Found->second.Call.Body;
  const std::uint64_t End = std::min<std::uint64_t>(Range.UpTo, Body.size());
  if (Range.From >= End)
    return false;
  const std::string_view Bytes =
      Body.blockAt(Range.From).substr(0, End - Range.From);
  Channel->send(PeerBodyPart{Range.Id, Range.From, std::string(Bytes)});
  Range.From += Bytes.size();
  return Range.From < End;
}

void PeerClient::cancel(std::uint64_t Id) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return;
  if (Found->second.SentIncarnation != 0 && State == ConnectionState::Open)
    Channel->send(PeerCancel{Id});
  Calls.erase(Found);
}

void PeerClient::send(const PeerFrame &Frame) {
  if (State == ConnectionState::Open)
    Channel->send(Frame);
}

void PeerClient::poll(const PeerPoll &Frame) {
  LastUse = Time.now();
  if (State != ConnectionState::Open) {
    open();
    return;
  }
  Channel->send(Frame);
  startFrameTimeout();
}

void PeerClient::startFrameTimeout() {
  if (AwaitingFrame)
    return;
  AwaitingFrame = true;
  AwaitingSince = Time.now();
  if (Calls.empty())
    armTimer(CheckInterval);
}

void PeerClient::failCalls(bool PeerEnded) {
  std::vector<std::pair<AnswerCallback, PeerAnswer>> Ended;
  for (auto It = Calls.begin(); It != Calls.end();) {
    Pending &Item = It->second;
    const bool Sent = Item.SentIncarnation != 0;
    // While the peer may still run, it can report the outcome of a
    // non-idempotent call.
    if (Sent && !PeerEnded && !Item.Call.Idempotent) {
      ++It;
      continue;
    }
    // Calls not yet sent, or sent to the new incarnation, stay pending.
    if (PeerEnded && (!Sent || Item.SentIncarnation == Incarnation)) {
      ++It;
      continue;
    }
    PeerAnswer Answer;
    Answer.Id = It->first;
    Answer.Outcome = Sent ? CallOutcome::Failed : CallOutcome::Refused;
    Answer.Reason = RefusalReason::PeerFailed;
    Answer.RetryAfter = MinReconnectDelay;
    Ended.emplace_back(std::move(Item.Done), std::move(Answer));
    It = Calls.erase(It);
  }
  for (auto &[Done, Answer] : Ended)
    Done(std::move(Answer));
}

void PeerClient::armTimer(Duration Span) {
  Timer.expires_after(detail::timerSpan(Span));
  Timer.async_wait(
      [this, Guard = Alive](const boost::system::error_code &Error) {
        if (!Error && *Guard)
          onTimer();
      });
}

void PeerClient::onTimer() {
  switch (State) {
  case ConnectionState::Idle:
    return;
  case ConnectionState::Backoff:
    connect();
    return;
  case ConnectionState::Connecting:
    onConnectingTimer();
    return;
  case ConnectionState::Open:
    onOpenTimer();
    return;
  }
}

void PeerClient::onConnectingTimer() {
  const Duration Elapsed = Time.now() - ConnectStarted;
  if (Elapsed >= ConnectTimeout) {
    onConnectFailed();
    return;
  }
  ConnectingSlowly = Elapsed >= UnsentTimeout;
  armTimer(CheckInterval);
  refuseUnsent(UnsentTimeout);
}

void PeerClient::refuseUnsent(Duration MinAge) {
  std::vector<std::uint64_t> Late;
  for (const auto &[Id, Item] : Calls)
    if (Item.SentIncarnation == 0 && Time.now() - Item.Submitted >= MinAge)
      Late.push_back(Id);
  for (const std::uint64_t Id : Late) {
    const auto Found = Calls.find(Id);
    if (Found == Calls.end())
      continue;
    PeerAnswer Answer;
    Answer.Id = Id;
    Answer.Outcome = CallOutcome::Refused;
    Answer.Reason = RefusalReason::PeerFailed;
    Answer.RetryAfter = MinReconnectDelay;
    const AnswerCallback Done = std::move(Found->second.Done);
    Calls.erase(Found);
    Done(std::move(Answer));
  }
}

void PeerClient::replaceUnresponsive() {
  AwaitingFrame = false;
  Channel->close();
  Channel.reset();
  connect();
  // Idempotent calls fail now and may be retried on another node. The others
  // wait for the new connection, over which the peer reports their outcome.
  failCalls(/*PeerEnded=*/false);
}

void PeerClient::onOpenTimer() {
  if (Calls.empty() && !AwaitingFrame)
    return;
  const Instant Now = Time.now();
  if (AwaitingFrame && Now - AwaitingSince >= FrameTimeout) {
    replaceUnresponsive();
    return;
  }
  if (!AwaitingFrame && Now - LastReceived >= PingIdleTime) {
    Channel->send(PeerPing{static_cast<std::uint64_t>(Now.wholeMillis())});
    startFrameTimeout();
  }
  armTimer(CheckInterval);
}

} // namespace camphorpin
