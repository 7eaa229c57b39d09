// Guards against malformed HTTP input from callers and backend servers: if
// messages are fragmented, truncated or corrupted, none is mistaken for
// another, a truncated one is not accepted as complete, and the node keeps
// serving.
#include "GatewayFixture.h"

#include <boost/asio/ip/tcp.hpp>
#include <criterion/criterion.h>
#include <optional>
#include <rapidcheck.h>

using namespace camphorpin;
using namespace camphorpin::test;

namespace {

/// \returns \p Bytes in fragments of random length.
std::vector<std::string> split(const std::string &Bytes) {
  std::vector<std::string> Result;
  std::size_t At = 0;
  while (At < Bytes.size()) {
    const std::size_t Length = *rc::gen::inRange<std::size_t>(1, 80);
    Result.push_back(Bytes.substr(At, Length));
    At += Length;
  }
  return Result;
}

/// \returns \p Body in chunks of random length, including the last chunk.
std::string chunked(const std::string &Body) {
  std::ostringstream Result;
  for (const std::string &Part : split(Body))
    Result << std::hex << Part.size() << "\r\n" << Part << "\r\n";
  Result << "0\r\n\r\n";
  return Result.str();
}

/// \returns \p Bytes with some bytes overwritten, removed or inserted.
std::string corrupt(std::string Bytes) {
  const int Changes = *rc::gen::inRange(1, 6);
  for (int Count = 0; Count < Changes && !Bytes.empty(); ++Count) {
    const std::size_t At = *rc::gen::inRange<std::size_t>(0, Bytes.size());
    const std::string Noise = *rc::gen::element<std::string>(
        "", "\r", "\n", "\r\n", "\r\n\r\n", " ", ":", "0", "9", "ffffffff",
        "-1", "Content-Length: 3\r\n", "Transfer-Encoding: chunked\r\n",
        std::string(1, '\0'), "\x80\xff", std::string(300, 'x'));
    Bytes.replace(At, *rc::gen::inRange<std::size_t>(0, 3), Noise);
  }
  return Bytes;
}

struct Message {
  std::string Id;
  std::string Body;
  bool Chunked = false;
};

std::vector<Message> randomMessages(std::size_t Most) {
  std::vector<Message> Result(*rc::gen::inRange<std::size_t>(1, Most + 1));
  for (std::size_t Index = 0; Index < Result.size(); ++Index) {
    Result[Index].Id = "q" + std::to_string(Index);
    Result[Index].Body = *rc::gen::container<std::string>(
        *rc::gen::inRange<std::size_t>(0, 200), rc::gen::arbitrary<char>());
    Result[Index].Chunked = *rc::gen::arbitrary<bool>();
  }
  return Result;
}

std::string framed(const Message &Item) {
  if (Item.Chunked)
    return "Transfer-Encoding: chunked\r\n\r\n" + chunked(Item.Body);
  return "Content-Length: " + std::to_string(Item.Body.size()) + "\r\n\r\n" +
         Item.Body;
}

std::string requestBytes(const Message &Item) {
  return "POST /" + Item.Id +
         " HTTP/1.1\r\nHost: h\r\nCamphorpin-Request: " + Item.Id + "\r\n" +
         framed(Item);
}

/// Echoes the body of each request.
struct EchoServer final : HttpRequestHandler {
  EventLoop Loop;
  HostAddress Address = freeAddress();
  AsyncHttpServer Server{Loop, *this};
  std::vector<std::string> Bodies;

  EchoServer() { Server.listen(Address); }
  void onRequest(const std::shared_ptr<HttpExchange> &Exchange) override {
    Bodies.push_back(Exchange->request().body().text());
    Exchange->reply(stampedReply(*Exchange, Bodies.back()));
  }
};

/// A server that sends the given fragments when it receives a request, and then
/// closes the connection.
class FragmentServer {
public:
  FragmentServer(EventLoop &Loop, std::vector<std::string> Fragments)
      : Acceptor(Loop,
                 [this](TcpSocket Accepted) { serve(std::move(Accepted)); }),
        Socket(Loop), Fragments(std::move(Fragments)) {
    cr_assert_eq(Acceptor.listen(Address), std::string());
  }

  HostAddress Address = freeAddress();

private:
  void serve(TcpSocket Accepted) {
    Socket = std::move(Accepted);
    Socket.async_read_some(
        boost::asio::buffer(Request),
        [this](const boost::system::error_code &Error, std::size_t) {
          if (!Error)
            sendNext();
        });
  }

  void sendNext() {
    if (Next == Fragments.size()) {
      Socket.close();
      return;
    }
    boost::asio::async_write(
        Socket, boost::asio::buffer(Fragments[Next++]),
        [this](const boost::system::error_code &Error, std::size_t) {
          if (!Error)
            sendNext();
        });
  }

  detail::AcceptLoop Acceptor;
  TcpSocket Socket;
  std::vector<std::string> Fragments;
  std::size_t Next = 0;
  std::array<char, 4096> Request{};
};

/// \returns the result of an exchange with a server that sends \p Fragments.
ExchangeResult exchange(std::vector<std::string> Fragments) {
  EventLoop Loop;
  FragmentServer Server(Loop, std::move(Fragments));
  const auto Connection =
      std::make_shared<HttpConnection>(Loop, Server.Address);
  ExchangeRequest Call;
  Call.Bytes = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  Call.Id = "q0";
  Call.IdHeader = "Camphorpin-Request";
  std::optional<ExchangeResult> Result;
  Connection->exchange(std::move(Call), [&Result](ExchangeResult Value) {
    Result = std::move(Value);
  });
  runUntil(Loop, Duration::seconds(5), [&] { return Result.has_value(); });
  RC_ASSERT(Result.has_value());
  Connection->close();
  return std::move(*Result);
}

std::string responseBytes(const Message &Item) {
  return "HTTP/1.1 200 OK\r\nCamphorpin-Stamp: s\r\nCamphorpin-Request: " +
         Item.Id + "\r\n" + framed(Item);
}

} // namespace

Test(HttpFuzz, fragmentedRequestsAreParsedInOrder) {
  cr_assert(rc::check([] {
    const std::vector<Message> Messages = randomMessages(5);
    std::string Bytes;
    for (const Message &Item : Messages)
      Bytes += requestBytes(Item);
    EchoServer Fixture;
    RawClient Caller(Fixture.Loop, Fixture.Address);
    for (const std::string &Fragment : split(Bytes)) {
      Caller.send(Fragment);
      Fixture.Loop.poll();
    }
    runUntil(Fixture.Loop, Duration::seconds(5),
             [&] { return Fixture.Bodies.size() >= Messages.size(); });
    RC_ASSERT(Fixture.Bodies.size() == Messages.size());
    for (std::size_t Index = 0; Index < Messages.size(); ++Index)
      RC_ASSERT(Fixture.Bodies[Index] == Messages[Index].Body);
  }));
}

Test(HttpFuzz, corruptedRequestsDoNotStopTheServer) {
  cr_assert(rc::check([] {
    EchoServer Fixture;
    std::string Bytes;
    for (const Message &Item : randomMessages(3))
      Bytes += requestBytes(Item);
    {
      RawClient Hostile(Fixture.Loop, Fixture.Address);
      for (const std::string &Fragment : split(corrupt(Bytes))) {
        Hostile.trySend(Fragment);
        Fixture.Loop.poll();
      }
    }
    Fixture.Bodies.clear();
    RawClient Caller(Fixture.Loop, Fixture.Address);
    Caller.send(requestBytes({"last", "body", false}));
    runUntil(Fixture.Loop, Duration::seconds(5), [&] {
      return Caller.Received.find("Camphorpin-Request: last") !=
             std::string::npos;
    });
    RC_ASSERT(Caller.Received.find("body") != std::string::npos);
  }));
}

// Guards against request smuggling: a request with conflicting lengths could
// hide another one from a proxy.
Test(HttpFuzz, requestWithConflictingLengthsIsRejected) {
  for (const char *Lengths :
       {"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
        "Content-Length: 4\r\nContent-Length: 30\r\n", "Content-Length: +4\r\n",
        "Content-Length: 4, 30\r\n", "Transfer-Encoding: gzip\r\n"}) {
    EchoServer Fixture;
    RawClient Caller(Fixture.Loop, Fixture.Address);
    Caller.send(std::string("POST / HTTP/1.1\r\nHost: h\r\n") + Lengths +
                "\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: h\r\n\r\n");
    runUntil(Fixture.Loop, Duration::seconds(2), [&] { return Caller.Ended; });
    cr_assert(Fixture.Bodies.empty(), "passed on: %s", Lengths);
    cr_assert(Caller.Received.starts_with("HTTP/1.1 4"), "%s: %s", Lengths,
              Caller.Received.c_str());
  }
}

Test(HttpFuzz, fragmentedResponsesAreParsed) {
  cr_assert(rc::check([] {
    const Message Item = randomMessages(1).front();
    const ExchangeResult Result = exchange(split(responseBytes(Item)));
    RC_ASSERT(Result.Outcome == ExchangeOutcome::Complete);
    RC_ASSERT(Result.Response.body() == Item.Body);
  }));
}

Test(HttpFuzz, truncatedResponsesAreIncomplete) {
  cr_assert(rc::check([] {
    const std::string Bytes = responseBytes(randomMessages(1).front());
    const std::size_t Cut = *rc::gen::inRange<std::size_t>(0, Bytes.size());
    const ExchangeResult Result = exchange(split(Bytes.substr(0, Cut)));
    RC_ASSERT(Result.Outcome != ExchangeOutcome::Complete);
  }));
}

// A duplicate response to an earlier request may arrive first.
Test(HttpFuzz, responsesToOtherRequestsAreSkipped) {
  cr_assert(rc::check([] {
    Message Own = randomMessages(1).front();
    std::string Bytes;
    for (Message &Other : randomMessages(3)) {
      Other.Id = "earlier";
      Bytes += responseBytes(Other);
    }
    const ExchangeResult Result = exchange(split(Bytes + responseBytes(Own)));
    RC_ASSERT(Result.Outcome == ExchangeOutcome::Complete);
    RC_ASSERT(Result.Response.body() == Own.Body);
  }));
}

Test(HttpFuzz, corruptedResponsesEndTheExchange) {
  cr_assert(rc::check([] {
    const Message Item = randomMessages(1).front();
    const ExchangeResult Result = exchange(split(corrupt(responseBytes(Item))));
    // The exchange always ends, and a complete body has the stated length.
    if (Result.Outcome == ExchangeOutcome::Complete &&
        Result.Response.has_content_length())
      RC_ASSERT(std::to_string(Result.Response.body().size()) ==
                Result.Response["Content-Length"]);
  }));
}
