#include "camphorpin/src/Daemon/RpcThread.h"

#include "camphorpin/src/Daemon/PeerLink.h"
#include "camphorpin/src/Daemon/RpcService.h"

#include <algorithm>
#include <cassert>
#include <memory>
#include <sys/eventfd.h>
#include <unistd.h>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace camphorpin {

namespace {

/// Words of call messages that one peer may have in progress (64 MB).
constexpr std::size_t FlowLimitWords = 8U << 20U;
/// Links above this number are dropped when they hold nothing.
constexpr std::size_t MaxIdleLinks = 1024;
constexpr kj::Duration FlushPeriod = 5 * kj::MILLISECONDS;
constexpr kj::Duration FlushTimeout = 5 * kj::SECONDS;

/// \class Inbound
/// \brief A connection that another node opened.
class Inbound {
public:
  Inbound(kj::Own<kj::AsyncIoStream> Source, detail::RpcEnvironment &Shared,
          capnp::Capability::Client Service)
      : Stream(kj::mv(Source)),
        Network(*Stream, capnp::rpc::twoparty::Side::SERVER,
                Shared.readerOptions()),
        System(capnp::makeRpcServer(Network, kj::mv(Service))) {
    System.setFlowLimit(FlowLimitWords);
  }

  kj::Promise<void> onDisconnect() { return Network.onDisconnect(); }

  /// \returns the bytes of answers that are not written yet.
  std::size_t unsent() { return Network.getCurrentQueueSize(); }

private:
  kj::Own<kj::AsyncIoStream> Stream;
  capnp::TwoPartyVatNetwork Network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> System;
};

/// \class RpcLoop
/// \brief What runs on the event loop.
class RpcLoop {
public:
  RpcLoop(RpcThread &Thread, BoundedQueue<RpcCommand> &Commands,
          detail::RpcEnvironment &Environment, int WakeSocket)
      : Thread(Thread), Commands(Commands), Environment(Environment),
        Wake(Environment.Io.lowLevelProvider->wrapInputFd(WakeSocket)),
        Listener(Environment.Io.lowLevelProvider->wrapListenSocketFd(
            Environment.Options.ListenSocket,
            kj::LowLevelAsyncIoProvider::TAKE_OWNERSHIP)) {}

  kj::Promise<void> acceptAll() {
    return Listener->accept().then([this](kj::Own<kj::AsyncIoStream> &&Stream) {
      serve(kj::mv(Stream));
      return acceptAll();
    });
  }

  kj::Promise<void> watchSilence() {
    const kj::Duration Period =
        Environment.Options.ConnectionSilence.ticks() / 4 * kj::MICROSECONDS;
    return Environment.Io.provider->getTimer().afterDelay(Period).then([this] {
      for (auto &[Address, Link] : Links)
        Link->checkSilence();
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
  void serve(kj::Own<kj::AsyncIoStream> Stream) {
    detail::setNoDelay(*Stream);
    wire::Node::Client Service =
        kj::heap<detail::RpcService>(Environment, Answers, Thread);
    kj::Own<Inbound> Connection =
        kj::heap<Inbound>(kj::mv(Stream), Environment, kj::mv(Service));
    Inbound *Key = Connection.get();
    Connections.insert(Key);
    Environment.Tasks.add(Connection->onDisconnect()
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
  std::uint64_t WakeCount = 0;
  detail::AnswerTable Answers;
  std::unordered_set<Inbound *> Connections;
  std::unordered_map<HostAddress, std::unique_ptr<detail::PeerLink>> Links;
};

} // namespace

RpcThread::RpcThread(RpcOptions Options, EventQueue &Events, EventLog &Log)
    : Options(std::move(Options)), Events(Events), Log(Log),
      Commands(this->Options.MaxCommands),
      WakeSocket(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  assert(WakeSocket >= 0 && "an event counter can be made");
}

RpcThread::~RpcThread() {
  stop();
  ::close(WakeSocket);
}

void RpcThread::start() {
  Thread = std::thread([this] { run(); });
}

void RpcThread::stop() {
  if (!Thread.joinable())
    return;
  Stopping = true;
  wake();
  Thread.join();
}

bool RpcThread::post(RpcCommand &&Command) {
  if (!Commands.push(std::move(Command)))
    return false;
  wake();
  return true;
}

void RpcThread::wake() const {
  const std::uint64_t One = 1;
  // The write only fails when the counter is full, and then the loop is awake.
  [[maybe_unused]] const ssize_t Written =
      ::write(WakeSocket, &One, sizeof(One));
}

void RpcThread::run() {
  kj::AsyncIoContext Io = kj::setupAsyncIo();
  detail::RpcEnvironment Environment(Options, Events, Log, Io);
  RpcLoop Loop(*this, Commands, Environment, WakeSocket);
  Environment.Tasks.add(Loop.acceptAll());
  Environment.Tasks.add(Loop.watchSilence());
  Loop.carryOut(Stopping).wait(Io.waitScope);
  Loop.flush().wait(Io.waitScope);
}

} // namespace camphorpin
