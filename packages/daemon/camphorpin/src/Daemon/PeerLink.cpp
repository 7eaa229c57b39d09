#include "camphorpin/src/Daemon/PeerLink.h"

#include "camphorpin/src/Daemon/Listener.h"

#include <algorithm>
#include <string>
#include <utility>

namespace camphorpin::detail {

namespace {

/// Time for a connection and the agreement on a version. A connection takes
/// about 1 ms within a region and a few round trips between regions.
constexpr kj::Duration OpenTimeout = 1 * kj::SECONDS;

kj::Duration toKj(Duration Value) { return Value.ticks() * kj::MICROSECONDS; }

} // namespace

void PeerLink::send(SendCall &&Command) {
  if (usable()) {
    Channel->send(Command);
    return;
  }
  if (Waiting.size() >= MaxWaiting) {
    Environment.Events.complete(CallDone{
        Command.Call,
        {.Verdict = Verdict::NotRun, .Reason = RefusalReason::NodeBusy},
        nullptr});
    return;
  }
  Waiting.push_back(std::move(Command));
  wantOpen();
}

void PeerLink::send(SendControl &&Command) {
  if (usable()) {
    Channel->send(Command);
    return;
  }
  // Its sender repeats it.
  if (WaitingControls.size() >= MaxWaitingControls)
    return;
  WaitingControls.push_back(std::move(Command));
  wantOpen();
}

void PeerLink::wantOpen() {
  if (std::exchange(Opening, true))
    return;
  Environment.whenMayOpen([this] { open(); });
}

void PeerLink::cancel(CallId Call) {
  const auto Found = std::find_if(
      Waiting.begin(), Waiting.end(),
      [Call](const SendCall &Entry) { return Entry.Call == Call; });
  if (Found != Waiting.end())
    Waiting.erase(Found);
  else if (usable())
    Channel->cancel(Call);
}

kj::Promise<kj::Own<RpcChannel>> PeerLink::connect() {
  const sockaddr_in Name = toSockaddr(Address);
  kj::Own<kj::NetworkAddress> Target =
      Environment.Io.provider->getNetwork().getSockaddr(&Name, sizeof(Name));
  kj::Promise<kj::Own<kj::AsyncIoStream>> Stream =
      Target->connect().attach(kj::mv(Target));
  kj::Promise<kj::Own<RpcChannel>> Opened =
      Stream.then([this](kj::Own<kj::AsyncIoStream> &&Ready) {
        kj::Own<RpcChannel> Fresh =
            kj::heap<RpcChannel>(Environment, kj::mv(Ready));
        kj::Promise<void> Agreed = Fresh->hello();
        return Agreed.then(
            [Fresh = kj::mv(Fresh)]() mutable { return kj::mv(Fresh); });
      });
  return Environment.Io.provider->getTimer().timeoutAfter(OpenTimeout,
                                                          kj::mv(Opened));
}

void PeerLink::open() {
  Environment.Tasks.add(connect().then(
      [this](kj::Own<RpcChannel> &&Fresh) { opened(kj::mv(Fresh)); },
      [this](kj::Exception &&Error) {
        Environment.Log.write(LogEvent::ConnectionFailed,
                              {{"peer", Address.toString()},
                               {"error", Error.getDescription().cStr()}});
        opened(kj::Own<RpcChannel>());
      }));
}

void PeerLink::opened(kj::Own<RpcChannel> Fresh) {
  Opening = false;
  Channel = kj::mv(Fresh);
  Environment.openFinished();
  const std::deque<SendControl> Controls = std::exchange(WaitingControls, {});
  if (!usable()) {
    failWaiting(RefusalReason::PeerFailed);
    return;
  }
  Environment.Log.write(LogEvent::ConnectionOpened,
                        {{"peer", Address.toString()}});
  for (const SendControl &Command : Controls)
    Channel->send(Command);
  for (const SendCall &Command : std::exchange(Waiting, {}))
    Channel->send(Command);
}

void PeerLink::failWaiting(RefusalReason Reason) {
  for (const SendCall &Command : std::exchange(Waiting, {}))
    Environment.Events.complete(CallDone{
        Command.Call, {.Verdict = Verdict::NotRun, .Reason = Reason}, nullptr});
}

void PeerLink::checkSilence() {
  if (!usable() || Channel->callCount() == 0 || Comparing)
    return;
  const kj::Duration Silent = Environment.now() - Channel->silentSince();
  if (Silent > toKj(Environment.Options.ConnectionSilence))
    startComparison();
}

void PeerLink::startComparison() {
  Comparing = true;
  const kj::TimePoint Begin = Environment.now();
  // Both connections are asked the same question, so that a backend server
  // that is merely slow does not count as a silent connection.
  Environment.Tasks.add(Channel->hello().catch_([](kj::Exception &&) {}));
  Environment.Tasks.add(connect().then(
      [this, Begin](kj::Own<RpcChannel> &&Fresh) {
        const kj::Duration Grace =
            toKj(Environment.Options.ConnectionSilence / 4);
        return Environment.Io.provider->getTimer().afterDelay(Grace).then(
            [this, Begin, Fresh = kj::mv(Fresh)]() mutable {
              compare(kj::mv(Fresh), Begin);
            });
      },
      [this](kj::Exception && /*Error*/) { Comparing = false; }));
}

void PeerLink::compare(kj::Own<RpcChannel> Fresh, kj::TimePoint Begin) {
  Comparing = false;
  const bool OldAnswered = usable() && Channel->silentSince() >= Begin;
  if (OldAnswered || Opening || !usable())
    return;
  Environment.Log.write(LogEvent::ConnectionReplaced,
                        {{"peer", Address.toString()},
                         {"calls", std::to_string(Channel->callCount())}});
  // The old connection is closed here and reports its calls as may-have-run.
  Channel = kj::mv(Fresh);
}

bool PeerLink::idle() const {
  return !Opening && !Comparing && Waiting.empty() && !usable();
}

} // namespace camphorpin::detail
