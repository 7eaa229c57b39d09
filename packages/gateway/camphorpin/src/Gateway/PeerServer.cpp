#include "camphorpin/src/Gateway/PeerServer.h"

#include <algorithm>

namespace camphorpin {

namespace {

/// How long an idempotent call keeps running after its caller's connection was
/// lost. A caller that replaces an unresponsive connection reconnects within
/// this time.
constexpr Duration ReattachTimeout = Duration::millis(350);
/// How long the answer to a call that must not run again is retained after the
/// deadline of the call, for a caller that lost its connection.
constexpr Duration AnswerRetention = Duration::seconds(15);
/// How long the answer to a call that may run again is retained: a client gives
/// up a connection that takes longer.
constexpr Duration RepeatableAnswerRetention = Duration::seconds(1);
/// Time in which a peer must send its hello on a new connection.
constexpr Duration HelloTimeout = Duration::seconds(3);
/// Bytes of a body that are asked for beyond those that have arrived: several
/// round trips between availability zones.
constexpr std::uint64_t UploadWindowBytes = std::uint64_t(512) << 10U;
/// Time without a part of a body after which its call is refused. The sender
/// replaces a silent connection much earlier.
constexpr Duration PartTimeout = Duration::seconds(2);
/// Time in which a whole body must arrive.
constexpr Duration UploadTimeout = Duration::seconds(30);
/// Largest frame that a peer sends to its server: an update with the records of
/// all members. Larger bodies arrive in parts.
constexpr std::size_t MaxReceivedFrameBytes = std::size_t(4) << 20U;
/// Largest number of calls that are recorded, for all senders and for one.
constexpr std::size_t MaxCalls = 16384;
constexpr std::size_t MaxCallsOfSender = 4096;
constexpr Duration BusyRetryAfter = Duration::millis(200);

} // namespace

/// A connection from a peer.
class PeerServer::Session final
    : public PeerChannel::Listener,
      public std::enable_shared_from_this<PeerServer::Session> {
public:
  Session(PeerServer &Server, TcpSocket Socket)
      : Server(Server),
        Channel(std::make_shared<PeerChannel>(std::move(Socket))),
        Opened(Server.Time.now()), LastFrame(Opened) {
    Channel->setLimits(MaxReceivedFrameBytes, Server.FrameBudget);
  }

  void start() { Channel->start(*this); }
  void send(const PeerFrame &Frame) { Channel->send(Frame); }
  void close() { Channel->close(); }
  bool hasUnsentFrames() const { return Channel->unsent() > 0; }
  const Sender &sender() const { return From; }
  /// \returns PeerHello::Number of the sender's hello.
  std::uint64_t number() const { return Number; }
  bool greeted() const { return Greeted; }
  Instant opened() const { return Opened; }
  Instant lastFrame() const { return LastFrame; }

  void onFrame(PeerFrame Frame) override {
    LastFrame = Server.Time.now();
    if (auto *Call = std::get_if<PeerCall>(&Frame)) {
      Server.onCall(shared_from_this(), std::move(*Call));
    } else if (auto *Large = std::get_if<PeerLargeCall>(&Frame)) {
      Server.onLargeCall(shared_from_this(), std::move(*Large));
    } else if (const auto *Part = std::get_if<PeerBodyPart>(&Frame)) {
      Server.onBodyPart(shared_from_this(), *Part);
    } else if (const auto *Cancel = std::get_if<PeerCancel>(&Frame)) {
      Server.onCancel({From, Cancel->Id});
    } else if (const auto *Ping = std::get_if<PeerPing>(&Frame)) {
      send(PeerPong{Ping->Number});
    } else if (const auto *Hello = std::get_if<PeerHello>(&Frame)) {
      onHello(*Hello);
    } else if (const auto *Request = std::get_if<PeerUpdateRequest>(&Frame)) {
      send(Server.Listener.makeUpdate(*Request));
    } else if (auto *Update = std::get_if<PeerUpdate>(&Frame)) {
      Server.Listener.onUpdate(From.Node, std::move(*Update));
    } else if (const auto *Ids = std::get_if<PeerAck>(&Frame)) {
      for (const std::uint64_t Id : Ids->Ids)
        Server.forget({From, Id});
    } else if (const auto *Received = std::get_if<PeerDigest>(&Frame)) {
      onDigest(*Received);
    } else if (const auto *Poll = std::get_if<PeerPoll>(&Frame)) {
      send(Server.Listener.onPoll(From.Node, Poll->Digest));
    } else if (const auto *Crashes = std::get_if<PeerCrashes>(&Frame)) {
      Server.Listener.onCrashes(*Crashes);
    } else if (const auto *Departed = std::get_if<DepartureNotice>(&Frame)) {
      Server.Listener.onDepartures(*Departed);
    }
  }

  void onHello(const PeerHello &Hello) {
    From = {Hello.Node, Hello.Incarnation};
    Number = Hello.Number;
    Greeted = true;
    if (!Server.replaceOlderSessions(*this)) {
      close();
      Server.onSessionClosed(shared_from_this());
      return;
    }
    send(Server.Listener.hello());
    for (const PeerFrame &Item : Server.Listener.greeting(From.Node))
      send(Item);
    onDigest(Hello.Digest);
  }

  /// A node without a configuration requests it on this connection instead of
  /// waiting for its own connection.
  void onDigest(const PeerDigest &Received) {
    const PeerDigest Local = Server.Listener.digest();
    if (Local.Configuration == 0 && Received.Configuration != 0)
      send(Server.Listener.updateRequest());
    else
      Server.Listener.onDigest(From.Node, Received);
  }

  void onClosed() override { Server.onSessionClosed(shared_from_this()); }

private:
  PeerServer &Server;
  std::shared_ptr<PeerChannel> Channel;
  Instant Opened;
  /// When the latest frame arrived.
  Instant LastFrame;
  Sender From;
  std::uint64_t Number = 0;
  bool Greeted = false;
};

PeerServer::PeerServer(EventLoop &Loop, const Clock &Time, BackendProxy &Proxy,
                       PeerServerListener &Listener)
    : Time(Time), Proxy(Proxy), Listener(Listener),
      Acceptor(Loop,
               [this](TcpSocket Socket) { onConnection(std::move(Socket)); }),
      DetachTimer(Loop) {}

PeerServer::~PeerServer() {
  for (const std::shared_ptr<Session> &Item : Sessions)
    Item->close();
}

std::string PeerServer::listen(const HostAddress &Address) {
  return Acceptor.listen(Address);
}

void PeerServer::onConnection(TcpSocket Socket) {
  // Without room, the new connection is closed unread.
  if (Sessions.size() >= MaxConnections && !closeIdle())
    return;
  const auto Item = std::make_shared<Session>(*this, std::move(Socket));
  Sessions.insert(Item);
  Item->start();
}

bool PeerServer::closeIdle() {
  std::set<std::shared_ptr<Session>> Calling;
  for (const auto &[Key, Item] : Calls)
    if (!Item.RetainedAnswer)
      Calling.insert(Item.Caller.lock());
  // Clients that have not sent a hello end before nodes.
  const auto EndsBefore = [](const Session &One, const Session &Other) {
    if (One.greeted() != Other.greeted())
      return !One.greeted();
    return One.lastFrame() < Other.lastFrame();
  };
  std::shared_ptr<Session> Chosen;
  for (const std::shared_ptr<Session> &Item : Sessions)
    if (!Calling.contains(Item) && (!Chosen || EndsBefore(*Item, *Chosen)))
      Chosen = Item;
  if (!Chosen)
    return false;
  Chosen->close();
  onSessionClosed(Chosen);
  return true;
}

void PeerServer::closeUngreeted() {
  std::vector<std::shared_ptr<Session>> Late;
  for (const std::shared_ptr<Session> &Item : Sessions)
    if (!Item->greeted() && Time.now() - Item->opened() >= HelloTimeout)
      Late.push_back(Item);
  for (const std::shared_ptr<Session> &Item : Late) {
    Item->close();
    onSessionClosed(Item);
  }
}

bool PeerServer::replaceOlderSessions(const Session &Greeted) {
  std::vector<std::shared_ptr<Session>> Older;
  for (const std::shared_ptr<Session> &Item : Sessions) {
    if (Item.get() == &Greeted || !Item->greeted() ||
        Item->sender() != Greeted.sender())
      continue;
    if (Item->number() > Greeted.number())
      return false;
    Older.push_back(Item);
  }
  for (const std::shared_ptr<Session> &Item : Older) {
    Item->close();
    onSessionClosed(Item);
  }
  return true;
}

bool PeerServer::hasUnsentFrames() const {
  return std::any_of(Sessions.begin(), Sessions.end(),
                     [](const std::shared_ptr<Session> &Item) {
                       return Item->hasUnsentFrames();
                     });
}

PeerServer::Record *
PeerServer::addRecord(const std::shared_ptr<Session> &Caller,
                      const PeerCall &Call) {
  const CallKey Key{Caller->sender(), Call.Id};
  const auto Found = Calls.find(Key);
  if (Found != Calls.end()) {
    Record &Item = Found->second;
    Item.Caller = Caller;
    Item.DetachedSince.reset();
    if (Item.RetainedAnswer)
      Caller->send(*Item.RetainedAnswer);
    if (Item.Receiving) {
      Item.Receiving->AskedBytes = Item.Receiving->Body.size();
      askForBody(Key.Id, Item);
    }
    return nullptr;
  }
  const auto Count = CallCounts.find(Key.From);
  const bool SenderIsFull =
      Count != CallCounts.end() && Count->second >= MaxCallsOfSender;
  if (Calls.size() >= MaxCalls || SenderIsFull) {
    // A refusal would have to be recorded. Without an answer, the sender must
    // not assume anything, and a later copy is not read.
    Caller->close();
    onSessionClosed(Caller);
    return nullptr;
  }
  ++CallCounts[Key.From];
  Record &Item = Calls[Key];
  Item.Caller = Caller;
  Item.Idempotent = Call.Idempotent;
  Item.Deadline = Time.now() + Call.TimeLeft;
  return &Item;
}

void PeerServer::forget(const CallKey &Key) {
  const auto Found = Calls.find(Key);
  if (Found != Calls.end())
    forget(Found);
}

std::map<PeerServer::CallKey, PeerServer::Record>::iterator
PeerServer::forget(std::map<CallKey, Record>::iterator Position) {
  const auto Count = CallCounts.find(Position->first.From);
  if (--Count->second == 0)
    CallCounts.erase(Count);
  return Calls.erase(Position);
}

void PeerServer::onCall(const std::shared_ptr<Session> &Caller, PeerCall Call) {
  const CallKey Key{Caller->sender(), Call.Id};
  if (addRecord(Caller, Call) != nullptr)
    submit(Key, std::move(Call));
}

void PeerServer::onLargeCall(const std::shared_ptr<Session> &Caller,
                             PeerLargeCall Large) {
  Record *Item = addRecord(Caller, Large.Call);
  if (Item == nullptr)
    return;
  const CallKey Key{Caller->sender(), Large.Call.Id};
  SharedBody Body(Proxy.messageBudget());
  if (!Proxy.status().Available) {
    refuse(Key, RefusalReason::NoBackend);
    return;
  }
  if (!Body.reserve(Large.BodyBytes)) {
    refuse(Key, RefusalReason::NodeBusy);
    return;
  }
  Item->Receiving = std::make_unique<Upload>();
  Upload &Receiving = *Item->Receiving;
  Receiving.Call = std::move(Large.Call);
  Receiving.Body = std::move(Body);
  Receiving.TotalBytes = Large.BodyBytes;
  Receiving.Started = Receiving.LastPart = Time.now();
  askForBody(Key.Id, *Item);
}

void PeerServer::askForBody(std::uint64_t Id, Record &Item) {
  Upload &Receiving = *Item.Receiving;
  const std::uint64_t UpTo = std::min<std::uint64_t>(
      Receiving.TotalBytes, Receiving.Body.size() + UploadWindowBytes);
  if (const std::shared_ptr<Session> Caller = Item.Caller.lock())
    Caller->send(PeerBodyRequest{Id, Receiving.AskedBytes, UpTo});
  Receiving.AskedBytes = UpTo;
}

void PeerServer::onBodyPart(const std::shared_ptr<Session> &Caller,
                            const PeerBodyPart &Part) {
  const CallKey Key{Caller->sender(), Part.Id};
  const auto Found = Calls.find(Key);
  if (Found == Calls.end() || !Found->second.Receiving ||
      Found->second.Caller.lock() != Caller)
    return;
  Upload &Receiving = *Found->second.Receiving;
  const bool Expected = Part.Offset == Receiving.Body.size() &&
                        Part.Bytes.size() <= Receiving.AskedBytes - Part.Offset;
  if (!Expected)
    return;
  Receiving.Body.append(Part.Bytes);
  Receiving.LastPart = Time.now();
  if (Receiving.Body.size() < Receiving.TotalBytes) {
    if (Receiving.AskedBytes - Receiving.Body.size() <= UploadWindowBytes / 2 &&
        Receiving.AskedBytes < Receiving.TotalBytes)
      askForBody(Part.Id, Found->second);
    return;
  }
  const std::unique_ptr<Upload> Received = std::move(Found->second.Receiving);
  PeerCall Call = std::move(Received->Call);
  Call.Body = std::move(Received->Body);
  Call.Age = Call.Age + (Time.now() - Received->Started);
  Call.TimeLeft =
      std::max(Duration::millis(1), Found->second.Deadline - Time.now());
  submit(Key, std::move(Call));
}

void PeerServer::submit(const CallKey &Key, PeerCall Call) {
  const std::uint64_t RunId =
      Proxy.submit(std::move(Call), [this, Key](PeerAnswer Answer) {
        onAnswer(Key, std::move(Answer));
      });
  // The call may have been answered already.
  const auto Added = Calls.find(Key);
  if (Added != Calls.end())
    Added->second.RunId = RunId;
}

void PeerServer::refuse(const CallKey &Key, RefusalReason Reason) {
  PeerAnswer Answer;
  Answer.Id = Key.Id;
  Answer.Outcome = CallOutcome::Refused;
  Answer.Reason = Reason;
  Answer.RetryAfter = BusyRetryAfter;
  Answer.Status = Proxy.status();
  onAnswer(Key, std::move(Answer));
}

void PeerServer::refuseStalledUploads() {
  const Instant Now = Time.now();
  std::vector<std::pair<CallKey, RefusalReason>> Stalled;
  for (const auto &[Key, Item] : Calls) {
    if (!Item.Receiving)
      continue;
    if (Now >= Item.Deadline)
      Stalled.emplace_back(Key, RefusalReason::Deadline);
    else if (Now - Item.Receiving->LastPart >= PartTimeout ||
             Now - Item.Receiving->Started >= UploadTimeout)
      Stalled.emplace_back(Key, RefusalReason::NodeBusy);
  }
  for (const auto &[Key, Reason] : Stalled)
    refuse(Key, Reason);
}

void PeerServer::onAnswer(const CallKey &Key, PeerAnswer Answer) {
  const auto Found = Calls.find(Key);
  if (Found == Calls.end())
    return;
  Record &Item = Found->second;
  Item.Receiving.reset();
  Answer.Configuration = Listener.digest().Configuration;
  const std::shared_ptr<Session> Caller = Item.Caller.lock();
  if (Caller)
    Caller->send(Answer);
  // The answer may be lost with the connection. A refusal is retained as well,
  // so that a repeat of the call doesn't run.
  if (Item.Idempotent && Answer.Outcome == CallOutcome::Answered && Caller) {
    forget(Found);
    return;
  }
  const Instant Now = Time.now();
  Item.RetainUntil = Item.Idempotent && Answer.Outcome == CallOutcome::Answered
                         ? Now + RepeatableAnswerRetention
                         : std::max(Now, Item.Deadline) + AnswerRetention;
  Item.Held = std::make_unique<BudgetShare>(Proxy.messageBudget());
  if (!Item.Held->resize(Answer.Head.size() + Answer.Body.size())) {
    // A repeat of the call is told that it may have run.
    Answer.Outcome = CallOutcome::Failed;
    Answer.Reason = RefusalReason::NodeBusy;
    Answer.Head.clear();
    Answer.Body.clear();
    Answer.Body.shrink_to_fit();
  }
  Item.RetainedAnswer = std::move(Answer);
}

void PeerServer::onCancel(const CallKey &Key) {
  const auto Found = Calls.find(Key);
  if (Found == Calls.end() || Found->second.RetainedAnswer)
    return;
  Proxy.cancel(Found->second.RunId);
  forget(Found);
}

void PeerServer::onSessionClosed(const std::shared_ptr<Session> &Caller) {
  bool Any = false;
  for (auto &[Key, Item] : Calls) {
    if (Item.RetainedAnswer || Item.Caller.lock() != Caller)
      continue;
    Item.DetachedSince = Time.now();
    Any = Any || Item.Idempotent || Item.Receiving;
  }
  Sessions.erase(Caller);
  if (!Any)
    return;
  DetachTimer.expires_after(detail::timerSpan(ReattachTimeout));
  DetachTimer.async_wait([this](const boost::system::error_code &Error) {
    if (!Error)
      cancelDetached();
  });
}

void PeerServer::cancelDetached() {
  const Instant Now = Time.now();
  for (auto Item = Calls.begin(); Item != Calls.end();) {
    const Record &Value = Item->second;
    // A call whose body is incomplete has not run.
    const bool MayEnd = Value.Idempotent || Value.Receiving;
    if (Value.RetainedAnswer || !MayEnd || !Value.DetachedSince ||
        Now - *Value.DetachedSince < ReattachTimeout) {
      ++Item;
      continue;
    }
    const std::uint64_t RunId = Value.RunId;
    Item = forget(Item);
    Proxy.cancel(RunId);
  }
}

void PeerServer::broadcast(const PeerFrame &Frame) {
  for (const std::shared_ptr<Session> &Item : Sessions)
    if (Item->greeted())
      Item->send(Frame);
}

void PeerServer::send(const std::string &Node, const PeerFrame &Frame) {
  for (const std::shared_ptr<Session> &Item : Sessions)
    if (Item->sender().Node == Node)
      Item->send(Frame);
}

void PeerServer::sendToAny(const PeerFrame &Frame, Random &RandomSource) {
  if (Sessions.empty())
    return;
  auto Chosen = Sessions.begin();
  std::advance(
      Chosen, static_cast<std::ptrdiff_t>(RandomSource.below(Sessions.size())));
  (*Chosen)->send(Frame);
}

void PeerServer::broadcastStatus() { broadcast(Proxy.status()); }

void PeerServer::tick() {
  cancelDetached();
  closeUngreeted();
  refuseStalledUploads();
  const Instant Now = Time.now();
  for (auto Item = Calls.begin(); Item != Calls.end();)
    if (Item->second.RetainedAnswer && Now > Item->second.RetainUntil)
      Item = forget(Item);
    else
      ++Item;
}

} // namespace camphorpin
