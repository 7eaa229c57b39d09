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

} // namespace

/// A connection from a peer.
class PeerServer::Session final
    : public PeerChannel::Listener,
      public std::enable_shared_from_this<PeerServer::Session> {
public:
  Session(PeerServer &Server, TcpSocket Socket)
      : Server(Server),
        Channel(std::make_shared<PeerChannel>(std::move(Socket))) {}

  void start() { Channel->start(*this); }
  void send(const PeerFrame &Frame) { Channel->send(Frame); }
  void close() { Channel->close(); }
  bool hasUnsentFrames() const { return Channel->unsent() > 0; }
  const Sender &sender() const { return From; }
  /// \returns PeerHello::Number of the sender's hello.
  std::uint64_t number() const { return Number; }
  bool greeted() const { return Greeted; }

  void onFrame(PeerFrame Frame) override {
    if (auto *Call = std::get_if<PeerCall>(&Frame)) {
      Server.onCall(shared_from_this(), std::move(*Call));
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
        Server.Calls.erase({From, Id});
    } else if (const auto *Received = std::get_if<PeerDigest>(&Frame)) {
      onDigest(*Received);
    } else if (const auto *Poll = std::get_if<PeerPoll>(&Frame)) {
      send(Server.Listener.onPoll(From.Node, Poll->Digest));
    } else if (const auto *Crashes = std::get_if<PeerCrashes>(&Frame)) {
      Server.Listener.onCrashes(*Crashes);
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
  const auto Item = std::make_shared<Session>(*this, std::move(Socket));
  Sessions.insert(Item);
  Item->start();
}

bool PeerServer::replaceOlderSessions(const Session &Greeted) {
  std::vector<std::shared_ptr<Session>> Older;
  for (const std::shared_ptr<Session> &Item : Sessions) {
    if (!Item->greeted() || Item->sender() != Greeted.sender())
      continue;
    if (Item->number() > Greeted.number())
      return false;
    if (Item->number() < Greeted.number())
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

void PeerServer::onCall(const std::shared_ptr<Session> &Caller, PeerCall Call) {
  const CallKey Key{Caller->sender(), Call.Id};
  const auto Found = Calls.find(Key);
  if (Found != Calls.end()) {
    Record &Item = Found->second;
    Item.Caller = Caller;
    Item.DetachedSince.reset();
    if (Item.RetainedAnswer)
      Caller->send(*Item.RetainedAnswer);
    return;
  }
  Record &Item = Calls[Key];
  Item.Caller = Caller;
  Item.Idempotent = Call.Idempotent;
  Item.Deadline = Time.now() + Call.TimeLeft;
  const std::uint64_t RunId =
      Proxy.submit(std::move(Call), [this, Key](PeerAnswer Answer) {
        onAnswer(Key, std::move(Answer));
      });
  // The call may have been answered already.
  const auto Added = Calls.find(Key);
  if (Added != Calls.end())
    Added->second.RunId = RunId;
}

void PeerServer::onAnswer(const CallKey &Key, PeerAnswer Answer) {
  const auto Found = Calls.find(Key);
  if (Found == Calls.end())
    return;
  Record &Item = Found->second;
  Answer.Configuration = Listener.digest().Configuration;
  const std::shared_ptr<Session> Caller = Item.Caller.lock();
  if (Caller)
    Caller->send(Answer);
  // The answer may be lost with the connection. A refusal is retained as well,
  // so that a repeat of the call doesn't run.
  if (Item.Idempotent && Answer.Outcome == CallOutcome::Answered && Caller) {
    Calls.erase(Found);
    return;
  }
  const Instant Now = Time.now();
  Item.RetainUntil = Item.Idempotent && Answer.Outcome == CallOutcome::Answered
                         ? Now + RepeatableAnswerRetention
                         : std::max(Now, Item.Deadline) + AnswerRetention;
  Item.RetainedAnswer = std::move(Answer);
}

void PeerServer::onCancel(const CallKey &Key) {
  const auto Found = Calls.find(Key);
  if (Found == Calls.end() || Found->second.RetainedAnswer)
    return;
  Proxy.cancel(Found->second.RunId);
  Calls.erase(Found);
}

void PeerServer::onSessionClosed(const std::shared_ptr<Session> &Caller) {
  bool Any = false;
  for (auto &[Key, Item] : Calls) {
    if (Item.RetainedAnswer || Item.Caller.lock() != Caller)
      continue;
    Item.DetachedSince = Time.now();
    Any = Any || Item.Idempotent;
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
    if (Value.RetainedAnswer || !Value.Idempotent || !Value.DetachedSince ||
        Now - *Value.DetachedSince < ReattachTimeout) {
      ++Item;
      continue;
    }
    const std::uint64_t RunId = Value.RunId;
    Item = Calls.erase(Item);
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
  const Instant Now = Time.now();
  std::erase_if(Calls, [Now](const auto &Entry) {
    const Record &Item = Entry.second;
    return Item.RetainedAnswer && Now > Item.RetainUntil;
  });
}

} // namespace camphorpin
