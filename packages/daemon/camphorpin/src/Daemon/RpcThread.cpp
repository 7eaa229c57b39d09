#include "camphorpin/src/Daemon/RpcThread.h"

#include "camphorpin/src/Daemon/LimitedStream.h"
#include "camphorpin/src/Daemon/PeerLink.h"
#include "camphorpin/src/Daemon/RpcService.h"

#include <algorithm>
#include <memory>
#include <sys/resource.h>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace camphorpin {

namespace {

/// Words of call messages that one peer may have in progress (64 MB).
constexpr std::size_t FlowLimitWords = 8U << 20U;
/// Links above this number are dropped when they hold nothing.
constexpr std::size_t MaxIdleLinks = 1024;
/// Events after which the loop looks for received bytes. Without it, clients
/// that connect again and again keep the loop from doing so.
constexpr kj::uint EventsBetweenPolls = 64;
constexpr kj::Duration AcceptRetryDelay = 100 * kj::MILLISECONDS;
constexpr kj::Duration FlushPeriod = 5 * kj::MILLISECONDS;
constexpr kj::Duration FlushTimeout = 5 * kj::SECONDS;

/// Messages that may be received at the same time, in largest messages.
constexpr std::size_t MessagesInReceipt = 8;
/// Answers that may wait to be read by one peer, in largest bodies.
constexpr std::size_t MaxUnsentBodies = 16;
/// Part of the descriptors of the process for connections that other nodes
/// open.
constexpr std::size_t InboundDescriptorDivisor = 4;
constexpr std::size_t MinInbound = 16;

/// \returns the connections that other nodes may have open to this one.
std::size_t maxInbound() {
  rlimit Process{};
  if (::getrlimit(RLIMIT_NOFILE, &Process) != 0)
    return MinInbound;
  return std::max<std::size_t>(MinInbound,
                               Process.rlim_cur / InboundDescriptorDivisor);
}

/// \class Inbound
/// \brief A connection that another node opened.
class Inbound {
public:
  /// \param Peer what the other side does, as \p Service sees it.
  Inbound(kj::Own<detail::LimitedStream> Source, detail::RpcEnvironment &Shared,
          capnp::Capability::Client Service,
          std::shared_ptr<const detail::PeerActivity> Peer)
      : Stream(kj::mv(Source)), Peer(std::move(Peer)),
        Network(*Stream, capnp::rpc::twoparty::Side::SERVER,
                Shared.readerOptions()),
        System(capnp::makeRpcServer(Network, kj::mv(Service))) {
    System.setFlowLimit(FlowLimitWords);
    kj::PromiseFulfillerPair<void> Pair = kj::newPromiseAndFulfiller<void>();
    Closed = kj::mv(Pair.promise);
    Closer = kj::mv(Pair.fulfiller);
  }

  /// \returns a promise that is ready when the peer has gone or close() was
  /// called. Must be called once.
  kj::Promise<void> onEnd() {
    return Network.onDisconnect().exclusiveJoin(kj::mv(Closed));
  }

  /// Ends the connection in a later iteration of the event loop.
  void close() {
    Closing = true;
    Closer->fulfill();
  }

  /// \returns true if the connection may end to make room for another.
  bool idle() const { return Peer->Calls == 0 && !Closing; }
  bool greeted() const { return Peer->Greeted; }
  bool closing() const { return Closing; }
  kj::TimePoint lastRead() const { return Stream->lastRead(); }

  /// \returns the bytes of answers that are not written yet.
  std::size_t unsent() { return Network.getCurrentQueueSize(); }

private:
  kj::Own<detail::LimitedStream> Stream;
  std::shared_ptr<const detail::PeerActivity> Peer;
  kj::Promise<void> Closed = nullptr;
  kj::Own<kj::PromiseFulfiller<void>> Closer;
  bool Closing = false;
  capnp::TwoPartyVatNetwork Network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> System;
};

/// \class RpcLoop
/// \brief What runs on the event loop.
class RpcLoop {
public:
  RpcLoop(RpcThread &Thread, BoundedQueue<RpcCommand> &Commands,
          detail::RpcEnvironment &Environment, const WakeSignal &Wake)
      : Thread(Thread), Commands(Commands), Environment(Environment),
        Wake(Environment.Io.lowLevelProvider->wrapInputFd(Wake.descriptor())),
        Listener(Environment.Io.lowLevelProvider->wrapListenSocketFd(
            Environment.Options.ListenSocket,
            kj::LowLevelAsyncIoProvider::TAKE_OWNERSHIP)),
        Receiving(std::make_shared<ByteBudget>(
            MessagesInReceipt * Environment.maxMessageBytes())) {}

  kj::Promise<void> acceptAll() {
    return Listener->accept().then(
        [this](kj::Own<kj::AsyncIoStream> &&Stream) {
          serve(kj::mv(Stream));
          return acceptAll();
        },
        [this](kj::Exception && /*Error*/) {
          // No descriptor is free; some are once connections have ended.
          return Environment.Io.provider->getTimer()
              .afterDelay(AcceptRetryDelay)
              .then([this] { return acceptAll(); });
        });
  }

  kj::Promise<void> watchSilence() {
    const kj::Duration Period =
        Environment.Options.ConnectionSilence.ticks() / 4 * kj::MICROSECONDS;
    return Environment.Io.provider->getTimer().afterDelay(Period).then([this] {
      for (auto &[Address, Link] : Links)
        Link->checkSilence();
      closeUnread();
      return watchSilence();
    });
  }

  /// \returns a promise that is ready when all answers are written, or after
  /// FlushTimeout, because a peer that reads nothing must not keep the node.
  kj::Promise<void> flush(kj::Duration Waited = 0 * kj::SECONDS) {
    const bool Written =
        std::all_of(Connections.begin(), Connections.end(),
                    [](Inbound *Entry) { return Entry->unsent() == 0; });
    if (Written || Waited >= FlushTimeout)
      return kj::READY_NOW;
    return Environment.Io.provider->getTimer()
        .afterDelay(FlushPeriod)
        .then([this, Waited] { return flush(Waited + FlushPeriod); });
  }

  /// \returns a promise that is ready when \p Stopping is set.
  kj::Promise<void> carryOut(const std::atomic<bool> &Stopping) {
    return Wake->read(&WakeCount, sizeof(WakeCount))
        .then([this, &Stopping]() -> kj::Promise<void> {
          while (std::optional<RpcCommand> Command = Commands.tryPop())
            std::visit(
                [this](auto &&Value) {
                  handle(std::forward<decltype(Value)>(Value));
                },
                *std::move(Command));
          if (Stopping)
            return kj::READY_NOW;
          return carryOut(Stopping);
        });
  }

private:
  /// Ends connections whose peers let answers pile up.
  void closeUnread() {
    const std::size_t MaxUnsent = MaxUnsentBodies * Environment.Options.MaxBody;
    for (Inbound *Item : Connections)
      if (!Item->closing() && Item->unsent() > MaxUnsent)
        Item->close();
  }

  /// \returns true if \p One should end before \p Other: clients that have not
  /// said which node they are end first, and then those that have been silent
  /// for longest.
  static bool endsBefore(const Inbound &One, const Inbound &Other) {
    if (One.greeted() != Other.greeted())
      return !One.greeted();
    return One.lastRead() < Other.lastRead();
  }

  /// Ends an idle connection.
  /// \returns false if there is none.
  bool closeIdle() {
    Inbound *Chosen = nullptr;
    for (Inbound *Item : Connections)
      if (Item->idle() && (Chosen == nullptr || endsBefore(*Item, *Chosen)))
        Chosen = Item;
    if (Chosen == nullptr)
      return false;
    Chosen->close();
    return true;
  }

  /// \returns true if another connection may be opened to this node.
  bool makeRoom() {
    const auto Open =
        std::count_if(Connections.begin(), Connections.end(),
                      [](const Inbound *Item) { return !Item->closing(); });
    return static_cast<std::size_t>(Open) < MaxInbound || closeIdle();
  }

  void serve(kj::Own<kj::AsyncIoStream> Stream) {
    // Without room, the new connection is closed unread.
    if (!makeRoom())
      return;
    detail::setNoDelay(*Stream);
    kj::Own<detail::RpcService> Handler =
        kj::heap<detail::RpcService>(Environment, Answers, Thread);
    const std::shared_ptr<const detail::PeerActivity> Peer =
        Handler->activity();
    wire::Node::Client Service = kj::mv(Handler);
    kj::Own<Inbound> Connection = kj::heap<Inbound>(
        kj::heap<detail::LimitedStream>(kj::mv(Stream), Receiving,
                                        Environment.Io.provider->getTimer()),
        Environment, kj::mv(Service), Peer);
    Inbound *Key = Connection.get();
    Connections.insert(Key);
    Environment.Tasks.add(Connection->onEnd()
                              .then([this, Key] { Connections.erase(Key); })
                              .attach(kj::mv(Connection)));
  }

  void handle(SendCall &&Command) {
    const HostAddress Target = Command.Target;
    link(Target).send(std::move(Command));
  }

  void handle(CancelCall &&Command) {
    link(Command.Target).cancel(Command.Call);
  }

  void handle(SendControl &&Command) {
    const HostAddress Target = Command.Target;
    link(Target).send(std::move(Command));
  }

  void handle(DeliverAnswer &&Command) { Answers.deliver(std::move(Command)); }

  detail::PeerLink &link(const HostAddress &Address) {
    if (Links.size() > MaxIdleLinks && Links.count(Address) == 0)
      std::erase_if(Links,
                    [](const auto &Entry) { return Entry.second->idle(); });
    std::unique_ptr<detail::PeerLink> &Entry = Links[Address];
    if (!Entry)
      Entry = std::make_unique<detail::PeerLink>(Environment, Address);
    return *Entry;
  }

  RpcThread &Thread;
  BoundedQueue<RpcCommand> &Commands;
  detail::RpcEnvironment &Environment;
  kj::Own<kj::AsyncInputStream> Wake;
  kj::Own<kj::ConnectionReceiver> Listener;
  /// The bytes of messages that are being received.
  std::shared_ptr<ByteBudget> Receiving;
  const std::size_t MaxInbound = maxInbound();
  std::uint64_t WakeCount = 0;
  detail::AnswerTable Answers;
  std::unordered_set<Inbound *> Connections;
  std::unordered_map<HostAddress, std::unique_ptr<detail::PeerLink>> Links;
};

} // namespace

RpcThread::RpcThread(RpcOptions Options, EventQueue &Events, EventLog &Log)
    : Options(std::move(Options)), Events(Events), Log(Log),
      Commands(this->Options.MaxCommands) {}

void RpcThread::start() {
  Thread = std::thread([this] { run(); });
}

void RpcThread::stop() {
  if (!Thread.joinable())
    return;
  Stopping = true;
  Wake.give();
  Thread.join();
}

bool RpcThread::post(RpcCommand &&Command) {
  if (!Commands.push(std::move(Command)))
    return false;
  Wake.give();
  return true;
}

void RpcThread::run() {
  kj::AsyncIoContext Io = kj::setupAsyncIo();
  Io.waitScope.setBusyPollInterval(EventsBetweenPolls);
  detail::RpcEnvironment Environment(Options, Events, Log, Io);
  RpcLoop Loop(*this, Commands, Environment, Wake);
  Environment.Tasks.add(Loop.acceptAll());
  Environment.Tasks.add(Loop.watchSilence());
  Loop.carryOut(Stopping).wait(Io.waitScope);
  Loop.flush().wait(Io.waitScope);
}

} // namespace camphorpin
