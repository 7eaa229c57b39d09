// Guards ordinary callers against clients that hold connections or bytes of a
// server without using them.
#include "DeferringServer.h"
#include "camphorpin/src/Gateway/OutputQueue.h"

#include <criterion/criterion.h>

using namespace camphorpin;
using namespace camphorpin::test;

namespace {

constexpr std::size_t BudgetBytes = std::size_t(6) << 20U;
/// Fits into an unused budget only.
constexpr std::size_t LargeBytes = std::size_t(4) << 20U;
constexpr std::size_t MaxConnections = 4;

struct LimitedServer final : DeferringServer {
  LimitedServer() : DeferringServer(BudgetBytes) {
    Server.setMaxConnections(MaxConnections);
    RequestLimits Limits;
    Limits.HeaderTimeout = Duration::millis(400);
    Server.setLimits(Limits);
  }
  std::unique_ptr<RawClient> connect() {
    auto Client = std::make_unique<RawClient>(Loop, Address);
    pause(Duration::millis(5));
    return Client;
  }
  void pause(Duration Span) {
    runUntil(Loop, Span, [] { return false; });
  }
  bool waitFor(const std::function<bool()> &Done) {
    runUntil(Loop, Duration::seconds(5), Done);
    return Done();
  }
};

constexpr const char *Get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
/// More than the kernel takes for a connection with a small buffer.
constexpr std::size_t UnreadBytes = std::size_t(5) << 20U;

/// A caller that has not read an answer of UnreadBytes for longer than a
/// second.
struct SlowReader {
  explicit SlowReader(LimitedServer &Fixture) : Socket(Fixture.Loop) {
    Socket.open(boost::asio::ip::tcp::v4());
    Socket.set_option(boost::asio::socket_base::receive_buffer_size(4096));
    Socket.connect(detail::endpointOf(Fixture.Address));
    boost::asio::write(Socket, boost::asio::buffer(std::string(Get)));
    if (!Fixture.waitFor([&] { return Fixture.Deferred.size() == 1; }))
      return;
    HttpExchange &Exchange = *Fixture.Deferred.front();
    if (!Exchange.reserve(UnreadBytes))
      return;
    Exchange.reply(stampedReply(Exchange, std::string(UnreadBytes, 'a')));
    Fixture.pause(Duration::millis(1300));
    HoldsBytes = Fixture.Budget->used() > 0;
  }

  /// \returns the number of bytes that arrive before the connection ends or has
  /// been silent for a second.
  std::size_t readAll(LimitedServer &Fixture) {
    std::size_t Total = 0;
    std::vector<char> Chunk(std::size_t(1) << 16U);
    Socket.non_blocking(true);
    const SystemClock Time;
    Instant LastRead = Time.now();
    while (Time.now() - LastRead < Duration::seconds(1)) {
      boost::system::error_code Error;
      const std::size_t Bytes =
          Socket.read_some(boost::asio::buffer(Chunk), Error);
      Total += Bytes;
      if (Bytes > 0)
        LastRead = Time.now();
      else if (Error != boost::asio::error::would_block)
        break;
      Fixture.pause(Duration::millis(1));
    }
    return Total;
  }

  TcpSocket Socket;
  /// The server holds bytes that have not been read.
  bool HoldsBytes = false;
};

} // namespace

// Guards against idle connections that keep a new caller out.
Test(ClientLimits, longestIdleConnectionGivesWay) {
  LimitedServer Fixture;
  std::vector<std::unique_ptr<RawClient>> Idle;
  for (std::size_t Count = 0; Count < MaxConnections; ++Count)
    Idle.push_back(Fixture.connect());
  const auto Caller = Fixture.connect();
  Caller->send(Get);
  cr_assert(Fixture.waitFor([&] { return Fixture.Deferred.size() == 1; }));
  cr_assert_eq(Fixture.Server.connections(), MaxConnections);
  cr_assert(Fixture.waitFor([&] { return Idle.front()->Ended; }));
  cr_assert_not(Idle.back()->Ended);
}

// Guards against a running request that loses its connection to a newer one.
Test(ClientLimits, connectionWithRunningRequestIsKept) {
  LimitedServer Fixture;
  std::vector<std::unique_ptr<RawClient>> Callers;
  for (std::size_t Count = 1; Count <= MaxConnections; ++Count) {
    Callers.push_back(Fixture.connect());
    Callers.back()->send(Get);
    cr_assert(
        Fixture.waitFor([&] { return Fixture.Deferred.size() == Count; }));
  }
  const auto Late = Fixture.connect();
  cr_assert(Fixture.waitFor([&] { return Late->Ended; }));
  for (const std::shared_ptr<HttpExchange> &Item : Fixture.Deferred)
    Item->reply(stampedReply(*Item, "whole"));
  for (const std::unique_ptr<RawClient> &Caller : Callers)
    cr_assert(Fixture.waitFor(
        [&] { return Caller->Received.find("whole") != std::string::npos; }));
}

// Guards against a client that announces a large body, sends little of it, and
// so keeps others from sending theirs. It is told that its request did not run.
Test(ClientLimits, slowBodyGivesWayToAnother) {
  LimitedServer Fixture;
  const auto Slow = Fixture.connect();
  Slow->send(postHead(LargeBytes) + "b");
  cr_assert(
      Fixture.waitFor([&] { return Fixture.Budget->used() >= LargeBytes; }));
  // Bytes that trickle in time don't make the transfer a fast one.
  for (int Count = 0; Count < 6; ++Count) {
    Fixture.pause(Duration::millis(200));
    Slow->trySend("b");
  }
  const auto Caller = Fixture.connect();
  Caller->send(postHead(LargeBytes));
  Fixture.sendBody(*Caller, LargeBytes);
  cr_assert(Fixture.waitFor([&] { return Fixture.Deferred.size() == 1; }));
  cr_assert_eq(Fixture.Deferred.front()->request().body().size(), LargeBytes);
  cr_assert(Slow->Received.starts_with("HTTP/1.1 503"));
}

// Guards against a body that is given up although it arrives at full speed.
Test(ClientLimits, fastBodyDoesNotGiveWay) {
  LimitedServer Fixture;
  const auto Fast = Fixture.connect();
  Fast->send(postHead(LargeBytes));
  Fixture.sendBody(*Fast, LargeBytes / 2);
  const auto Caller = Fixture.connect();
  Caller->send(postHead(LargeBytes));
  cr_assert(Fixture.waitFor([&] { return !Caller->Received.empty(); }));
  cr_assert(Caller->Received.starts_with("HTTP/1.1 503"));
  Fixture.sendBody(*Fast, LargeBytes / 2);
  cr_assert(Fixture.waitFor([&] { return Fixture.Deferred.size() == 1; }));
}

// Guards against a head that arrives byte by byte and never ends.
Test(ClientLimits, slowHeadEndsInTime) {
  LimitedServer Fixture;
  const auto Slow = Fixture.connect();
  Slow->send("GET /a HTTP/1.1\r\nX: ");
  for (int Count = 0; Count < 40 && !Slow->Ended; ++Count) {
    Slow->trySend("x");
    Fixture.pause(Duration::millis(50));
  }
  cr_assert(Slow->Received.starts_with("HTTP/1.1 408"));
}

// Guards against answers that nobody reads and that use up the budget: an
// answer to another caller takes their place.
Test(ClientLimits, unreadAnswerGivesWayToAnother) {
  LimitedServer Fixture;
  const SlowReader Unread(Fixture);
  cr_assert(Unread.HoldsBytes);
  const auto Caller = Fixture.connect();
  Caller->send(Get);
  cr_assert(Fixture.waitFor([&] { return Fixture.Deferred.size() == 2; }));
  cr_assert(Fixture.Deferred.back()->reserve(BudgetBytes * 7 / 8));
}

// The body can be refused before its request runs.
Test(ClientLimits, largeBodyDoesNotEndAnAnswer) {
  LimitedServer Fixture;
  SlowReader Reader(Fixture);
  cr_assert(Reader.HoldsBytes);
  const auto Caller = Fixture.connect();
  Caller->send(postHead(LargeBytes));
  cr_assert(Fixture.waitFor([&] { return !Caller->Received.empty(); }));
  cr_assert(Caller->Received.starts_with("HTTP/1.1 503"));
  cr_assert_gt(Reader.readAll(Fixture), UnreadBytes);
}

// Guards against a request that is dropped while it is handled, because its
// connection is closed to make room for the bytes of another one.
Test(ClientLimits, closedConnectionIsReportedLater) {
  LimitedServer Fixture;
  const auto Caller = Fixture.connect();
  Caller->send(Get);
  cr_assert(Fixture.waitFor([&] { return Fixture.Deferred.size() == 1; }));
  bool Left = false;
  Fixture.Deferred.front()->setDisconnectHandler([&] { Left = true; });
  Fixture.Server.close();
  cr_assert_not(Left);
  cr_assert(Fixture.waitFor([&] { return Left; }));
}

// Guards against bytes that are lost, repeated or reordered between pieces.
Test(OutputQueue, writesPiecesInOrder) {
  detail::OutputQueue Queue;
  std::string Expected;
  std::string Written;
  for (std::size_t Size = 1; Size < 60000; Size = Size * 3 + 1) {
    const std::string Piece(Size, static_cast<char>('a' + Size % 26));
    Queue.push(Piece);
    Expected += Piece;
    const std::vector<boost::asio::const_buffer> Front = Queue.front();
    // A piece that is pushed during a write must not move what is written.
    Queue.push("next");
    Expected += "next";
    const std::size_t Taken = boost::asio::buffer_size(Front) / 2;
    std::string Part(Taken, ' ');
    boost::asio::buffer_copy(boost::asio::buffer(Part), Front);
    Written += Part;
    Queue.consume(Taken);
  }
  while (!Queue.empty()) {
    const std::vector<boost::asio::const_buffer> Front = Queue.front();
    std::string Part(boost::asio::buffer_size(Front), ' ');
    boost::asio::buffer_copy(boost::asio::buffer(Part), Front);
    Written += Part;
    Queue.consume(Part.size());
  }
  cr_assert_eq(Written, Expected);
}
