// Guards the HTTP front end against malformed, oversized, slow and never-ending
// requests: each gets a clear error, and requests after it are served.
#include "camphorpin/src/Daemon/HttpServer.h"

#include "FreeAddress.h"
#include "RawConnection.h"

#include <algorithm>
#include <condition_variable>
#include <criterion/criterion.h>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <thread>
#include <vector>

using namespace camphorpin;
using camphorpin::test::freeAddress;
using camphorpin::testing::RawConnection;

namespace {

/// \class EchoServer
/// \brief Answers with the method, the path and the body that arrived.
class EchoServer {
public:
  explicit EchoServer(const HttpLimits &Limits = limits())
      : Server(Limits, [](const httplib::Request &Request, std::string &&Body,
                          httplib::Response &Response) {
          Response.set_content("<" + Request.method + " " + Request.path + " " +
                                   Body + ">",
                               "text/plain");
        }) {
    cr_assert(Server.bind(Address));
    Server.start();
  }

  /// \returns the answer to \p Text, up to the end of the connection.
  std::string answerTo(std::string_view Text) const {
    RawConnection Connection(Address);
    Connection.send(Text);
    return Connection.readToEnd();
  }

  static HttpLimits limits() {
    HttpLimits Limits;
    Limits.Body = 1000;
    Limits.Headers = 1024;
    Limits.ReadTimeout = Duration::millis(300);
    Limits.Threads = 4;
    return Limits;
  }

  const HostAddress Address = freeAddress();
  HttpServer Server;
};

bool startsWith(const std::string &Text, std::string_view Start) {
  return Text.rfind(Start, 0) == 0;
}

bool isRefusal(const std::string &Text, std::string_view Status) {
  return startsWith(Text, "HTTP/1.1 " + std::string(Status)) &&
         Text.find("Camphorpin-Verdict: not-run") != std::string::npos &&
         Text.find("<closed>") != std::string::npos;
}

void assertServes(const EchoServer &Node) {
  const std::string Text =
      Node.answerTo("GET /a/b HTTP/1.1\r\nConnection: close\r\n\r\n");
  cr_assert(Text.find("<GET /a/b >") != std::string::npos, "%s", Text.c_str());
}

} // namespace

Test(HttpServer, refusesOversizedRequests) {
  const EchoServer Node;
  cr_assert(isRefusal(Node.answerTo("POST /a/b HTTP/1.1\r\n"
                                    "Content-Length: 1001\r\n\r\n" +
                                    std::string(1001, 'x')),
                      "413"));
  cr_assert(isRefusal(
      Node.answerTo("POST /a/b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "600\r\n" +
                    std::string(0x600, 'x') + "\r\n"),
      "413"));
  cr_assert(isRefusal(Node.answerTo("GET /a/b HTTP/1.1\r\nX-Long: " +
                                    std::string(1100, 'x') + "\r\n\r\n"),
                      "431"));
  assertServes(Node);
}

// Guards against long headers inside the limit that wait for a thread without
// end, because the kernel takes no more of them unread.
Test(HttpServer, servesLongHeadersInsideTheLimit) {
  HttpLimits Limits = EchoServer::limits();
  Limits.Headers = 400000;
  Limits.ReadTimeout = Duration::seconds(10);
  const EchoServer Node(Limits);
  std::string Head = "GET /a/b HTTP/1.1\r\nConnection: close\r\n";
  for (int Count = 0; Count < 50; ++Count)
    Head +=
        "X-" + std::to_string(Count) + ": " + std::string(7000, 'x') + "\r\n";
  const std::string Text = Node.answerTo(Head + "\r\n");
  cr_assert(Text.find("<GET /a/b >") != std::string::npos, "%s", Text.c_str());
}

// Guards against headers that break off, whose client is told nothing and whose
// connection keeps the server busy.
Test(HttpServer, endsHeadersThatBreakOff) {
  const EchoServer Node;
  RawConnection Connection(Node.Address);
  Connection.send("GET /a/b HTTP/1.1\r\nX: half");
  ::usleep(50000);
  Connection.endSending();
  const std::string Text = Connection.readToEnd();
  cr_assert(Text.find("408") == std::string::npos, "%s", Text.c_str());
  assertServes(Node);
}

// The HTTP library alone reads headers without end.
Test(HttpServer, endsNeverEndingHeaders) {
  const EchoServer Node;
  RawConnection Connection(Node.Address);
  Connection.send("GET /a/b HTTP/1.1\r\n");
  int Sent = 0;
  while (Sent < 100000 && Connection.send("X-Next: value\r\n"))
    ++Sent;
  cr_assert_lt(Sent, 100000);
  assertServes(Node);
}

// A caller that sends a byte now and then must not hold a thread for ever.
Test(HttpServer, endsSlowRequests) {
  const EchoServer Node;
  RawConnection Connection(Node.Address);
  Connection.send("POST /a/b HTTP/1.1\r\nContent-Length: 900\r\n\r\n");
  int Sent = 0;
  while (Sent < 900 && Connection.send("x")) {
    ++Sent;
    ::usleep(10000);
  }
  cr_assert_lt(Sent, 900);
  assertServes(Node);
  cr_assert(isRefusal(Node.answerTo("GET /a/b HTTP/1.1\r\nX-Half"), "408"));
}

// Guards against a body being taken for the next request of the connection.
Test(HttpServer, refusesRequestsWithoutClearEnd) {
  const EchoServer Node;
  const std::string Hidden = "GET /hidden/request HTTP/1.1\r\n\r\n";
  const char *BothLengths = "POST /a/b HTTP/1.1\r\nContent-Length: 32\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n";
  for (std::string_view Headers :
       {"GET /a/b HTTP/1.1\r\nContent-Length: 32\r\n\r\n",
        "POST /a/b HTTP/1.1\r\nContent-Length: 32\r\nContent-Length: 3\r\n\r\n",
        BothLengths, "POST /a/b HTTP/1.1\r\nContent-Length: +32\r\n\r\n",
        "POST /a/b HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
        "FETCH /a/b HTTP/1.1\r\nContent-Length: 32\r\n\r\n"}) {
    const std::string Text = Node.answerTo(std::string(Headers) + Hidden);
    cr_assert(isRefusal(Text, "400"), "%s%s", Headers.data(), Text.c_str());
    cr_assert(Text.find("hidden") == std::string::npos, "%s", Text.c_str());
  }
  assertServes(Node);
}

// Guards against a request that is smuggled to the backend server inside a
// header of another one.
Test(HttpServer, refusesHeadersThatWouldBecomeSeveral) {
  const EchoServer Node;
  for (std::string_view Header :
       {"X: a%0d%0aY: b", "X: a%0D%0A%0D%0AGET /hidden HTTP/1.1", "X: a%00b",
        "X y: z", "X\ty: z", "X\x01y: z", ": z"}) {
    const std::string Text = Node.answerTo("GET /a/b HTTP/1.1\r\n" +
                                           std::string(Header) + "\r\n\r\n");
    cr_expect(isRefusal(Text, "400"), "%s: %s", Header.data(), Text.c_str());
  }
  assertServes(Node);
}

// Guards R3: the backend server gets the body that the caller sent. The HTTP
// library alone takes forms apart and waits for the end of the connection when
// a POST has no length.
Test(HttpServer, passesBodiesUnchanged) {
  const EchoServer Node;
  RawConnection Connection(Node.Address);
  Connection.send("POST /a/b HTTP/1.1\r\nContent-Length: 5\r\n"
                  "Content-Type: multipart/form-data; boundary=x\r\n\r\n--x\r\n"
                  "POST /a/c HTTP/1.1\r\nContent-Length: 3\r\n"
                  "Content-Type: application/x-www-form-urlencoded\r\n\r\na=b"
                  "POST /a/d HTTP/1.1\r\n\r\n");
  cr_assert(Connection.readUntil("<POST /a/d >").find("<closed>") ==
            std::string::npos);
}

namespace {

/// \class Gate
/// \brief Holds handlers until it is opened.
class Gate {
public:
  void open() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Open = true;
    Changed.notify_all();
  }

  void wait() {
    std::unique_lock<std::mutex> Lock(Mutex);
    Changed.wait(Lock, [this] { return Open; });
  }

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  bool Open = false;
};

/// Opens connections and sends a request on each.
std::vector<std::unique_ptr<RawConnection>> sendRequests(const HostAddress &To,
                                                         std::size_t Count) {
  std::vector<std::unique_ptr<RawConnection>> Result;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Result.push_back(std::make_unique<RawConnection>(To));
    cr_assert(Result.back()->send("GET /a/b HTTP/1.1\r\n\r\n"));
  }
  return Result;
}

/// \returns the number of connections that end with a whole answer.
std::size_t answered(std::span<const std::unique_ptr<RawConnection>> Asked) {
  return static_cast<std::size_t>(
      std::count_if(Asked.begin(), Asked.end(),
                    [](const std::unique_ptr<RawConnection> &Item) {
                      return startsWith(Item->readToEnd(), "HTTP/1.1 200 OK");
                    }));
}

} // namespace

// Guards against requests that a stopping node drops without an answer while
// they wait for a thread.
Test(HttpServer, requestsThatWaitForAThreadAreAnsweredAtTheStop) {
  constexpr std::size_t Requests = 40;
  Gate Handlers;
  const HttpLimits Limits = EchoServer::limits();
  HttpServer Server(Limits, [&](const httplib::Request &, std::string &&,
                                httplib::Response &) { Handlers.wait(); });
  const HostAddress Address = freeAddress();
  cr_assert(Server.bind(Address));
  Server.start();
  const auto Asked = sendRequests(Address, Requests);
  while (Server.handling() < Limits.Threads)
    std::this_thread::yield();
  std::thread Stopping([&Server] { Server.stop(); });
  // The requests wait while the server stops.
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  Handlers.open();
  Stopping.join();
  cr_assert_eq(answered(Asked), Requests);
}

// Guards against requests that a stopping node drops without an answer because
// it has not accepted their connections.
Test(HttpServer, requestsThatAreNotAcceptedAreAnsweredAtTheStop) {
  constexpr int Rounds = 100;
  constexpr std::size_t Requests = 5;
  for (int Round = 0; Round < Rounds; ++Round) {
    EchoServer Node;
    const auto Asked = sendRequests(Node.Address, Requests);
    Node.Server.stop();
    cr_assert_eq(answered(Asked), Requests, "round %d", Round);
  }
}
