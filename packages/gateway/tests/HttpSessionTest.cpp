#include "GatewayFixture.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>
#include <stdexcept>

using namespace camphorpin;
using namespace camphorpin::test;

namespace {

/// A server that defers its responses to the test.
struct DeferringServer final : HttpRequestHandler {
  EventLoop Loop;
  HostAddress Address = freeAddress();
  AsyncHttpServer Server{Loop, *this};
  std::vector<std::shared_ptr<HttpExchange>> Deferred;

  DeferringServer() { Server.listen(Address); }
  void onRequest(const std::shared_ptr<HttpExchange> &Exchange) override {
    Deferred.push_back(Exchange);
  }
  void waitFor(std::size_t Count) {
    runUntil(Loop, Duration::seconds(2),
             [&] { return Deferred.size() >= Count; });
  }
};

std::string get(const std::string &Id) {
  return "GET /" + Id + " HTTP/1.1\r\nHost: h\r\nCamphorpin-Request: " + Id +
         "\r\n\r\n";
}

} // namespace

// Guards against pipelined responses that are sent out of order and reach the
// wrong request.
Test(HttpSession, pipelinedResponsesKeepRequestOrder) {
  DeferringServer Fixture;
  RawClient Caller(Fixture.Loop, Fixture.Address);
  Caller.send(get("1") + get("2") + get("3"));
  Fixture.waitFor(3);
  for (const std::size_t Index : {2, 0, 1})
    Fixture.Deferred[Index]->reply(
        stampedReply(*Fixture.Deferred[Index], "b" + std::to_string(Index)));
  runUntil(Fixture.Loop, Duration::seconds(2),
           [&] { return Caller.Received.find("b2") != std::string::npos; });
  const std::size_t First = Caller.Received.find("b0");
  const std::size_t Second = Caller.Received.find("b1");
  const std::size_t Third = Caller.Received.find("b2");
  cr_assert(First < Second && Second < Third && Third != std::string::npos);
}

// Guards against bytes of an earlier request that are parsed again, in place of
// later ones, after a connection has paused at its limit of requests.
Test(HttpSession, requestsBeyondThePipelineLimitAreReadOnce) {
  constexpr std::size_t Limit = 32;
  DeferringServer Fixture;
  RawClient Caller(Fixture.Loop, Fixture.Address);
  std::string Ahead;
  for (std::size_t Number = 1; Number <= Limit + 2; ++Number)
    Ahead += get(std::to_string(Number));
  Caller.send(Ahead);
  Fixture.waitFor(Limit);
  for (std::size_t Index = 0; Index < Limit; ++Index)
    Fixture.Deferred[Index]->reply(stampedReply(*Fixture.Deferred[Index], "b"));
  Fixture.waitFor(Limit + 2);
  cr_assert_eq(Fixture.Deferred.size(), Limit + 2);
  Caller.send(get("late") + get("last"));
  Fixture.waitFor(Limit + 4);
  cr_assert_eq(Fixture.Deferred.size(), Limit + 4);
  for (std::size_t Index = 0; Index < Limit + 2; ++Index)
    cr_assert_eq(Fixture.Deferred[Index]->request().target(),
                 "/" + std::to_string(Index + 1));
  cr_assert_eq(Fixture.Deferred[Limit + 2]->request().target(), "/late");
  cr_assert_eq(Fixture.Deferred[Limit + 3]->request().target(), "/last");
}

// Guards against requests that keep running after the caller has disconnected.
Test(HttpSession, disconnectIsDetectedWhileRequestRuns) {
  DeferringServer Fixture;
  RawClient Caller(Fixture.Loop, Fixture.Address);
  Caller.send(get("1"));
  Fixture.waitFor(1);
  bool Abandoned = false;
  Fixture.Deferred.front()->setDisconnectHandler([&] { Abandoned = true; });
  Caller.disconnect();
  runUntil(Fixture.Loop, Duration::seconds(2), [&] { return Abandoned; });
  cr_assert(Abandoned);
}

// Guards pipelined requests during a drain: the connection is closed only after
// every request that was read has been answered.
Test(HttpSession, drainingClosesAfterLastResponse) {
  DeferringServer Fixture;
  RawClient Caller(Fixture.Loop, Fixture.Address);
  Caller.send(get("1") + get("2"));
  Fixture.waitFor(2);
  Fixture.Server.drain();
  for (const std::shared_ptr<HttpExchange> &Item : Fixture.Deferred)
    Item->reply(stampedReply(*Item, "whole"));
  runUntil(Fixture.Loop, Duration::seconds(2), [&] { return Caller.Ended; });
  const std::size_t Close = Caller.Received.find("Connection: close");
  cr_assert_neq(Close, std::string::npos);
  cr_assert_gt(Close, Caller.Received.find("whole"));
  cr_assert_neq(Caller.Received.find("whole", Close), std::string::npos);
}

// Guards against parse errors when a chunked request arrives in two fragments,
// split at any position.
Test(HttpSession, fragmentedChunkedRequestIsReassembled) {
  DeferringServer Fixture;
  const std::string Request =
      "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n";
  for (std::size_t Cut = 1; Cut < Request.size(); Cut += 3) {
    Fixture.Deferred.clear();
    RawClient Caller(Fixture.Loop, Fixture.Address);
    Caller.send(Request.substr(0, Cut));
    runUntil(Fixture.Loop, Duration::millis(8), [] { return false; });
    Caller.send(Request.substr(Cut));
    Fixture.waitFor(1);
    cr_assert_eq(Fixture.Deferred.size(), 1);
    cr_assert_eq(Fixture.Deferred.front()->request().body().text(),
                 std::string("hello world"));
  }
}

// Guards against malformed input that disrupts the node: it answers with an
// error or closes the connection, and keeps serving.
Test(HttpSession, malformedInputClosesOnlyItsConnection) {
  DeferringServer Fixture;
  RequestLimits Limits;
  Limits.HeaderBytes = 512;
  Limits.BodyBytes = 1024;
  Fixture.Server.setLimits(Limits);
  for (const std::string &Bytes :
       {std::string("\x00\xff\x13garbage\r\n\r\n", 14),
        "GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n",
        std::string("POST / HTTP/1.1\r\nContent-Length: 99999\r\n\r\n")}) {
    RawClient Caller(Fixture.Loop, Fixture.Address);
    Caller.send(Bytes);
    runUntil(Fixture.Loop, Duration::seconds(2), [&] { return Caller.Ended; });
    cr_assert(Caller.Ended);
    cr_assert(Caller.Received.empty() ||
              Caller.Received.starts_with("HTTP/1.1 4"));
  }
  RawClient Caller(Fixture.Loop, Fixture.Address);
  Caller.send(get("1"));
  Fixture.waitFor(1);
  cr_assert_eq(Fixture.Deferred.size(), 1);
}

// Guards against a response that a slow caller loses: bytes that it sends after
// the last response reset the connection if this side has closed it entirely.
Test(HttpSession, lastResponseSurvivesLaterBytes) {
  constexpr std::size_t BodyBytes = 40000;
  DeferringServer Fixture;
  TcpSocket Caller(Fixture.Loop);
  Caller.open(boost::asio::ip::tcp::v4());
  // Most of the response stays in the server's send buffer.
  Caller.set_option(boost::asio::socket_base::receive_buffer_size(4096));
  Caller.connect(detail::endpointOf(Fixture.Address));
  std::string Request = get("1");
  Request.insert(Request.size() - 2, "Connection: close\r\n");
  boost::asio::write(Caller, boost::asio::buffer(Request));
  Fixture.waitFor(1);
  Fixture.Deferred.front()->reply(
      stampedReply(*Fixture.Deferred.front(), std::string(BodyBytes, 'b')));
  runUntil(Fixture.Loop, Duration::millis(100), [] { return false; });
  boost::asio::write(Caller, boost::asio::buffer("x", 1));
  runUntil(Fixture.Loop, Duration::millis(100), [] { return false; });
  std::array<char, 4096> Chunk{};
  std::size_t Received = 0;
  boost::system::error_code Error;
  while (!Error) {
    Received += Caller.read_some(boost::asio::buffer(Chunk), Error);
    runUntil(Fixture.Loop, Duration::millis(1), [] { return false; });
  }
  cr_assert_gt(Received, BodyBytes, "%zu bytes, then: %s", Received,
               Error.message().c_str());
}

// Guards against a node that ends, or a caller without an answer, because the
// handling of one request throws.
Test(HttpSession, throwingHandlerEndsOnlyItsConnection) {
  struct ThrowingServer final : HttpRequestHandler {
    EventLoop Loop;
    HostAddress Address = freeAddress();
    AsyncHttpServer Server{Loop, *this};
    ThrowingServer() { Server.listen(Address); }
    void onRequest(const std::shared_ptr<HttpExchange> &Exchange) override {
      if (Exchange->request().target() == "/bad")
        throw std::runtime_error("bad request");
      Exchange->reply(stampedReply(*Exchange, "whole"));
    }
  } Fixture;
  int Thrown = 0;
  const auto RunUntilEnd = [&](RawClient &Caller) {
    for (int Count = 0; Count < 400 && !Caller.Ended; ++Count) {
      try {
        Fixture.Loop.run_one_for(std::chrono::milliseconds(5));
      } catch (const std::runtime_error &) {
        ++Thrown;
      }
    }
  };
  RawClient Bad(Fixture.Loop, Fixture.Address);
  Bad.send(get("bad"));
  RunUntilEnd(Bad);
  cr_assert(Bad.Ended);
  cr_assert(Bad.Received.starts_with("HTTP/1.1 500"));
  cr_assert_eq(Thrown, 1);
  RawClient Good(Fixture.Loop, Fixture.Address);
  Good.send("GET /ok HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  RunUntilEnd(Good);
  cr_assert_neq(Good.Received.find("whole"), std::string::npos);
}

// Guards against requests that a stopping node drops unread: on an open
// connection, or on one that it has not accepted.
Test(HttpSession, requestsThatHaveArrivedAreAnsweredAtTheEnd) {
  DeferringServer Fixture;
  RawClient Idle(Fixture.Loop, Fixture.Address);
  RawClient Open(Fixture.Loop, Fixture.Address);
  runUntil(Fixture.Loop, Duration::seconds(2),
           [&] { return Fixture.Server.connections() == 2; });
  Fixture.Server.drain();
  RawClient NotAccepted(Fixture.Loop, Fixture.Address);
  Open.send(get("1"));
  NotAccepted.send(get("2"));
  cr_assert_not(Fixture.Server.closeIdle());
  cr_assert_eq(Fixture.Server.connections(), 2U);
  Fixture.waitFor(2);
  cr_assert_eq(Fixture.Deferred.size(), 2U);
  for (const std::shared_ptr<HttpExchange> &Exchange : Fixture.Deferred)
    Exchange->reply(stampedReply(*Exchange, "b"));
  const auto IsLast = [](const RawClient &Caller) {
    return Caller.Received.find("Connection: close") != std::string::npos;
  };
  runUntil(Fixture.Loop, Duration::seconds(2),
           [&] { return IsLast(Open) && IsLast(NotAccepted) && Idle.Ended; });
  cr_assert(IsLast(Open) && IsLast(NotAccepted) && Idle.Ended);
  cr_assert(Fixture.Server.closeIdle());
}
