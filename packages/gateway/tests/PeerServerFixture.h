#ifndef CAMPHORPIN_TESTS_PEERSERVERFIXTURE_H
#define CAMPHORPIN_TESTS_PEERSERVERFIXTURE_H

#include "GatewayFixture.h"

#include "camphorpin/src/Gateway/PeerClient.h"
#include "camphorpin/src/Gateway/PeerServer.h"

#include <array>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <memory>
#include <string>
#include <vector>

namespace camphorpin::test {

class TestServerListener final : public PeerServerListener {
public:
  PeerHello hello() override {
    PeerHello Result;
    Result.Node = "server";
    Result.Incarnation = 1;
    Result.Service = "shop";
    Result.Zone = "a";
    return Result;
  }
  PeerDigest digest() const override { return {}; }
  PeerUpdateRequest updateRequest() const override { return {}; }
  void onDigest(const std::string &, const PeerDigest &) override {}
  PeerUpdate makeUpdate(const PeerUpdateRequest &) override { return {}; }
  void onUpdate(const std::string &, PeerUpdate) override {}
  PeerPollAnswer onPoll(const std::string &, const PeerDigest &) override {
    return {};
  }
  void onCrashes(const PeerCrashes &) override {}
  void onDepartures(const DepartureNotice &) override {}
  std::vector<PeerFrame> greeting(const std::string &) override { return {}; }
};

class TestClientListener final : public PeerClientListener {
public:
  // By default, all callers started in the same millisecond.
  explicit TestClientListener(std::string Node, std::uint64_t Incarnation = 7)
      : Node(std::move(Node)), Incarnation(Incarnation) {}
  PeerHello hello() override {
    PeerHello Result;
    Result.Node = Node;
    Result.Incarnation = Incarnation;
    Result.Number = ++Hellos;
    Result.Service = "web";
    Result.Zone = "a";
    return Result;
  }
  void onDigest(const std::string &, const PeerDigest &) override {}
  PeerUpdate makeUpdate(const PeerUpdateRequest &) override { return {}; }
  void onUpdate(const std::string &, PeerUpdate) override {}
  void onPollAnswer(const std::string &, const PeerPollAnswer &) override {}
  PeerPollAnswer onPoll(const std::string &, const PeerDigest &) override {
    return {};
  }
  void onCrashes(const PeerCrashes &) override {}
  void onDepartures(const DepartureNotice &) override {}
  std::vector<PeerFrame> greeting(const std::string &) override { return {}; }

private:
  std::string Node;
  std::uint64_t Incarnation;
  std::uint64_t Hellos = 0;
};

/// A node in front of a backend server that echoes the request's body.
struct ProxyFixture {
  EventLoop Loop;
  SystemClock Time;
  PlainProtocol Protocol;
  EventLog Log{{"error", ""}, Time};
  std::vector<std::shared_ptr<HttpExchange>> Held;
  bool Hold = false;
  FakeBackend Backend{Loop, [this](const std::shared_ptr<HttpExchange> &Item) {
                        if (Hold)
                          Held.push_back(Item);
                        else
                          answer(Item);
                      }};
  GatewaySettings Settings = settings();
  BackendProxy Proxy{Loop, Time, Settings, Protocol, Log};
  TestServerListener Listener;
  PeerServer Server{Loop, Time, Proxy, Listener};
  HostAddress Address = freeAddress();

  ProxyFixture() {
    Server.listen(Address);
    makeAvailable(Loop, Proxy, Backend.Address);
  }

  GatewaySettings settings() const {
    GatewaySettings Result;
    Result.Node = "server";
    Result.Service = "shop";
    Result.BackendAddress = Backend.Address;
    return Result;
  }

  static void answer(const std::shared_ptr<HttpExchange> &Item) {
    Item->reply(stampedReply(*Item, Item->request().body().text()));
  }

  static PeerCall call(std::uint64_t Id, const std::string &Body,
                       bool Idempotent) {
    PeerCall Call;
    Call.Id = Id;
    Call.Head = "POST /buy/x HTTP/1.1\r\nHost: shop\r\nCamphorpin-Request: r" +
                Body + "\r\n";
    Call.Body = Body;
    Call.RequestId = "r" + Body;
    Call.Route = "buy";
    Call.Service = "shop";
    Call.Idempotent = Idempotent;
    Call.TimeLeft = Duration::seconds(3);
    Call.Objective = Duration::seconds(1);
    return Call;
  }
};

/// A TCP forwarder whose open connections can be stalled. Bytes that arrive on
/// a stalled connection are kept, also after the sender has closed it, as a
/// network partition keeps them.
class StallingForwarder {
public:
  StallingForwarder(EventLoop &Loop, const HostAddress &Target)
      : Address(freeAddress()), Loop(Loop), Target(Target),
        Acceptor(Loop, detail::endpointOf(Address)) {
    accept();
  }

  void stallOpenConnections() {
    for (const std::shared_ptr<Pipe> &Item : Pipes)
      Item->Stalled = true;
  }

  /// Delivers what the senders wrote to stalled connections.
  void releaseStalledBytes() {
    for (const std::shared_ptr<Pipe> &Item : Pipes) {
      boost::system::error_code Ignored;
      boost::asio::write(Item->Out, boost::asio::buffer(Item->HeldForth),
                         Ignored);
      Item->HeldForth.clear();
    }
  }

  HostAddress Address;

private:
  struct Pipe {
    Pipe(TcpSocket In, EventLoop &Loop) : In(std::move(In)), Out(Loop) {}
    TcpSocket In;
    TcpSocket Out;
    std::array<char, 4096> Forth{};
    std::array<char, 4096> Back{};
    /// Bytes for Out that were received while the connection was stalled.
    std::string HeldForth;
    bool Stalled = false;
  };

  void accept() {
    Acceptor.async_accept(
        [this](const boost::system::error_code &Error, TcpSocket Socket) {
          if (Error)
            return;
          const auto Item = std::make_shared<Pipe>(std::move(Socket), Loop);
          Item->Out.connect(detail::endpointOf(Target));
          Pipes.push_back(Item);
          copy(Item, Item->In, Item->Out, Item->Forth);
          copy(Item, Item->Out, Item->In, Item->Back);
          accept();
        });
  }

  void copy(const std::shared_ptr<Pipe> &Item, TcpSocket &From, TcpSocket &To,
            std::array<char, 4096> &Chunk) {
    From.async_read_some(
        boost::asio::buffer(Chunk),
        [this, Item, &From, &To, &Chunk](const boost::system::error_code &Error,
                                         std::size_t Bytes) {
          if (Error)
            return;
          boost::system::error_code Ignored;
          if (!Item->Stalled)
            boost::asio::write(To, boost::asio::buffer(Chunk.data(), Bytes),
                               Ignored);
          else if (&To == &Item->Out)
            Item->HeldForth.append(Chunk.data(), Bytes);
          copy(Item, From, To, Chunk);
        });
  }

  EventLoop &Loop;
  HostAddress Target;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::vector<std::shared_ptr<Pipe>> Pipes;
};

/// A caller whose connection to the node is cut off by a short partition, so
/// that its calls are sent again on a second connection while their first
/// copies are still on their way on the closed one.
struct PartitionFixture : ProxyFixture {
  TestClientListener Caller{"caller"};
  StallingForwarder Forwarder{Loop, Address};
  PeerClient Client{Loop, Time, "server", Forwarder.Address, Caller};
  std::vector<PeerAnswer> Answers;

  PartitionFixture() {
    send(64, "connect");
    awaitAnswers(1);
    Backend.Arrivals = 0;
    Answers.clear();
    Forwarder.stallOpenConnections();
  }

  /// Sends a non-idempotent call.
  void send(std::uint64_t Id, const std::string &Body) {
    Client.call(call(Id, Body, false), [this](PeerAnswer Value) {
      Answers.push_back(std::move(Value));
    });
  }

  void awaitAnswers(std::size_t Count) {
    runUntil(Loop, Duration::seconds(2),
             [&] { return Answers.size() == Count; });
    cr_assert_eq(Answers.size(), Count);
  }

  /// Ends the partition, and waits until the late copies have been processed.
  void endPartition() {
    Forwarder.releaseStalledBytes();
    runUntil(Loop, Duration::millis(200), [] { return false; });
  }
};

} // namespace camphorpin::test

#endif
