// Guards calls between nodes against connections that stop responding for ever
// while new ones work, and against ones that break.
#include "FreeAddress.h"
#include "RawConnection.h"
#include "camphorpin/src/Daemon/RpcThread.h"

#include <atomic>
#include <criterion/criterion.h>
#include <optional>
#include <thread>
#include <vector>

using namespace camphorpin;
using camphorpin::test::freeAddress;

namespace {

/// \class Relay
/// \brief Passes bytes on between two nodes. On request it stops doing so for
/// the connections that are open, without closing them.
class Relay {
public:
  explicit Relay(const HostAddress &Target)
      : Listener(listenTcp(Address)), Target(Target),
        Thread([this] { run(); }) {}
  ~Relay() {
    Stopping = true;
    Thread.join();
    for (const Pair &Entry : Pairs) {
      ::close(Entry.Near);
      ::close(Entry.Far);
    }
    ::close(Listener);
  }
  Relay(const Relay &) = delete;
  Relay &operator=(const Relay &) = delete;

  /// Silences the connections that are open now.
  void silence() { SilentBelow = Accepted.load(); }
  std::size_t accepted() const { return Accepted; }

  const HostAddress Address = freeAddress();

private:
  struct Pair {
    int Near;
    int Far;
  };

  void run() {
    while (!Stopping) {
      std::vector<pollfd> Entries = {{Listener, POLLIN, 0}};
      for (std::size_t Index = SilentBelow; Index < Pairs.size(); ++Index) {
        Entries.push_back({Pairs[Index].Near, POLLIN, 0});
        Entries.push_back({Pairs[Index].Far, POLLIN, 0});
      }
      if (::poll(Entries.data(), Entries.size(), 10) <= 0)
        continue;
      for (std::size_t Index = 1; Index < Entries.size(); ++Index)
        if (Entries[Index].revents != 0)
          pass(Entries[Index].fd,
               Entries[Index % 2 == 1 ? Index + 1 : Index - 1].fd);
      if (Entries[0].revents != 0)
        accept();
    }
  }

  static void pass(int From, int To) {
    char Buffer[65536];
    const ssize_t Count = ::recv(From, Buffer, sizeof(Buffer), 0);
    if (Count > 0)
      ::send(To, Buffer, static_cast<std::size_t>(Count), MSG_NOSIGNAL);
    else
      ::shutdown(To, SHUT_WR);
  }

  void accept() {
    const int Near = ::accept(Listener, nullptr, nullptr);
    const int Far = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in Name = toSockaddr(Target);
    cr_assert_eq(
        ::connect(Far, reinterpret_cast<const sockaddr *>(&Name), sizeof(Name)),
        0);
    Pairs.push_back({Near, Far});
    ++Accepted;
  }

  const int Listener;
  const HostAddress Target;
  std::vector<Pair> Pairs;
  std::atomic<std::size_t> Accepted{0};
  std::atomic<std::size_t> SilentBelow{0};
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

/// \class TestNode
/// \brief The RPC thread of a node, driven by the test.
class TestNode {
public:
  explicit TestNode(Duration Silence) : Rpc(options(Silence), Events, Log) {
    Rpc.start();
  }

  RpcOptions options(Duration Silence) const {
    RpcOptions Options;
    Options.Self = {Address, 1};
    Options.ListenSocket = listenTcp(Address);
    Options.MaxBody = 1000;
    Options.ConnectionSilence = Silence;
    return Options;
  }

  CallId call(const HostAddress &Target) {
    RequestContext Context;
    Context.Service = ServiceName("lots");
    Context.Operation = OperationName("find");
    Context.Caller = CallerName("tester");
    Context.Remaining = Duration::seconds(30);
    const CallId Call{++LastCall};
    Rpc.post(SendCall{Call, Target, Context, std::make_shared<Payload>()});
    return Call;
  }

  /// Waits for an event of one kind; others are dropped.
  template <class Event> Event next() {
    while (std::optional<NodeEvent> Value = Events.pop(Duration::seconds(10)))
      if (Event *Wanted = std::get_if<Event>(&*Value))
        return std::move(*Wanted);
    cr_assert(false, "no such event within 10 s");
    return Event();
  }

  const HostAddress Address = freeAddress();
  SystemClock Time;
  EventLog Log{{"error", ""}, Time};
  EventQueue Events{64};
  RpcThread Rpc;
  std::uint64_t LastCall = 0;
};

SharedPayload response(std::uint16_t Status, std::string Body = {}) {
  return std::make_shared<Payload>(
      Payload{.Status = Status, .Body = std::move(Body)});
}

} // namespace

Test(Connection, silentOneIsReplacedAndItsCallsMayHaveRun) {
  TestNode Server(Duration::seconds(60));
  Relay Between(Server.Address);
  TestNode Client(Duration::millis(100));
  const CallId First = Client.call(Between.Address);
  Server.next<CallArrived>();
  Between.silence();
  const CallDone Lost = Client.next<CallDone>();
  cr_assert(Lost.Call == First);
  cr_assert(Lost.Result.Verdict == Verdict::MayHaveRun);
  cr_assert(Lost.Result.Reason == RefusalReason::PeerFailed);

  const CallId Second = Client.call(Between.Address);
  CallArrived Arrived = Server.next<CallArrived>();
  Arrived.Sink->deliver({.Verdict = Verdict::Ran}, response(200));
  const CallDone Done = Client.next<CallDone>();
  cr_assert(Done.Call == Second && Done.Result.Verdict == Verdict::Ran);
}

// A backend server that is slow is no reason to close a connection.
Test(Connection, slowAnswerKeepsTheConnection) {
  TestNode Server(Duration::seconds(60));
  const Relay Between(Server.Address);
  TestNode Client(Duration::millis(50));
  const CallId Call = Client.call(Between.Address);
  CallArrived Arrived = Server.next<CallArrived>();
  // Several comparisons pass while the answer is outstanding.
  while (Between.accepted() < 4)
    ::usleep(10000);
  Arrived.Sink->deliver({.Verdict = Verdict::Ran}, response(200));
  const CallDone Done = Client.next<CallDone>();
  cr_assert(Done.Call == Call && Done.Result.Verdict == Verdict::Ran);
}

// Guards R4: only a call that was never sent may be reported as not run.
Test(Connection, refusedConnectionIsNotRunAndBrokenOneMayHaveRun) {
  TestNode Client(Duration::seconds(60));
  Client.call(freeAddress());
  cr_assert(Client.next<CallDone>().Result.Verdict == Verdict::NotRun);

  std::optional<TestNode> Server(std::in_place, Duration::seconds(60));
  Client.call(Server->Address);
  Server->next<CallArrived>();
  Server.reset();
  cr_assert(Client.next<CallDone>().Result.Verdict == Verdict::MayHaveRun);
}

// A call whose answer exceeds the limit must not take the connection's other
// calls with it.
Test(Connection, oversizedAnswerIsRefusedAlone) {
  TestNode Server(Duration::seconds(60));
  TestNode Client(Duration::seconds(60));
  Client.call(Server.Address);
  CallArrived Arrived = Server.next<CallArrived>();
  Arrived.Sink->deliver({.Verdict = Verdict::Ran},
                        response(200, std::string(2000, 'x')));
  cr_assert(Client.next<CallDone>().Result.Verdict == Verdict::MayHaveRun);
  Client.call(Server.Address);
  Arrived = Server.next<CallArrived>();
  Arrived.Sink->deliver({.Verdict = Verdict::Ran}, response(200));
  cr_assert(Client.next<CallDone>().Result.Verdict == Verdict::Ran);
}

// Guards against a node of an earlier version that passes on an answer that is
// none of the protocol: it counts as lost, and the connection's next calls are
// answered.
Test(Connection, impossibleAnswerIsRefusedAlone) {
  TestNode Server(Duration::seconds(60));
  TestNode Client(Duration::seconds(60));
  for (const std::uint16_t Status : {0, 99, 101, 600}) {
    Client.call(Server.Address);
    Server.next<CallArrived>().Sink->deliver({.Verdict = Verdict::Ran},
                                             response(Status));
    cr_assert(Client.next<CallDone>().Result.Verdict == Verdict::MayHaveRun);
  }
  Client.call(Server.Address);
  Server.next<CallArrived>().Sink->deliver({.Verdict = Verdict::Ran},
                                           response(200));
  cr_assert(Client.next<CallDone>().Result.Verdict == Verdict::Ran);
}
