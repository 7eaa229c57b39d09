#include "GatewayFixture.h"

#include <boost/asio/write.hpp>
#include <chrono>
#include <criterion/criterion.h>
#include <thread>

using namespace camphorpin;
using namespace camphorpin::test;

namespace {

/// A backend server that answers each request with raw bytes.
class RawBackend {
public:
  RawBackend(EventLoop &Loop, std::vector<std::string> Answers)
      : Address(freeAddress()), Answers(std::move(Answers)),
        Acceptor(Loop, detail::endpointOf(Address)) {
    accept();
  }

  HostAddress Address;
  /// The next request closes its connection and the listening socket.
  void crashOnNextRequest() { CrashPending = true; }

  int Requests = 0;
  int Connections = 0;
  bool CrashPending = false;
  /// Written before the answer to each request but the first on a connection.
  std::string LateBytes;
  /// Each answer ends its connection.
  bool CloseAfterAnswer = false;

private:
  struct Connection {
    explicit Connection(TcpSocket Socket) : Socket(std::move(Socket)) {}
    TcpSocket Socket;
    std::array<char, 4096> Chunk{};
    int Requests = 0;
  };

  void accept() {
    Acceptor.async_accept(
        [this](const boost::system::error_code &Error, TcpSocket Socket) {
          if (Error)
            return;
          ++Connections;
          read(std::make_shared<Connection>(std::move(Socket)));
          accept();
        });
  }

  void read(const std::shared_ptr<Connection> &Item) {
    Item->Socket.async_read_some(
        boost::asio::buffer(Item->Chunk),
        [this, Item](const boost::system::error_code &Error,
                     std::size_t Bytes) {
          if (Error)
            return;
          const std::string_view Text(Item->Chunk.data(), Bytes);
          if (Text.starts_with("GET /health ")) {
            const std::string Healthy =
                std::string(HealthyHead) + "Content-Length: 0\r\n\r\n";
            boost::asio::write(Item->Socket, boost::asio::buffer(Healthy));
            read(Item);
            return;
          }
          const std::string &Answer =
              Answers[static_cast<std::size_t>(Requests) % Answers.size()];
          ++Requests;
          if (Answer == "close") {
            if (CrashPending)
              Acceptor.close();
            Item->Socket.close();
            return;
          }
          if (Item->Requests++ > 0)
            boost::asio::write(Item->Socket, boost::asio::buffer(LateBytes));
          boost::asio::write(Item->Socket, boost::asio::buffer(Answer));
          if (!CloseAfterAnswer)
            read(Item);
        });
  }

  std::vector<std::string> Answers;
  boost::asio::ip::tcp::acceptor Acceptor;
};

struct ProxyFixture {
  EventLoop Loop;
  SystemClock Time;
  PlainProtocol Protocol;
  EventLog Log{{"error", ""}, Time};
  RawBackend Backend;
  GatewaySettings Settings;
  BackendProxy Proxy;

  explicit ProxyFixture(std::vector<std::string> Answers)
      : Backend(Loop, std::move(Answers)), Settings(settings(Backend.Address)),
        Proxy(Loop, Time, Settings, Protocol, Log) {
    makeAvailable(Loop, Proxy, Backend.Address);
  }

  static GatewaySettings settings(const HostAddress &Backend) {
    GatewaySettings Result;
    Result.Service = "shop";
    Result.BackendAddress = Backend;
    return Result;
  }

  /// Starts a run, whose connection the server closes, and calls \p Meanwhile
  /// before the node notices.
  /// \returns the reported crashes.
  PeerCrashes crashesAfterLostRun(std::uint64_t Fingerprint,
                                  const std::function<void()> &Meanwhile,
                                  const std::function<void()> &Later) {
    PeerCrashes Result;
    Proxy.setCrashListener(
        [&Result](const PeerCrashes &Crashes) { Result = Crashes; });
    bool Ended = false;
    Proxy.submit(call("lost", Fingerprint), [&](const PeerAnswer &Answer) {
      Ended = true;
      cr_assert_eq(Answer.verdict(), Verdict::MayHaveRun);
    });
    // Time passes between the start of the run and the loss.
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
    Meanwhile();
    runUntil(Loop, Duration::seconds(2), [&] { return Ended; });
    // The attempt to connect succeeds.
    runUntil(Loop, Duration::millis(50), [] { return false; });
    Later();
    Proxy.setCrashListener({});
    return Result;
  }

  void report(const std::string &Id, std::uint64_t Sequence,
              BackendPhase Phase = BackendPhase::Ready) {
    BackendReport Report;
    Report.Id = Id;
    Report.Service = "shop";
    Report.Address = Backend.Address.toString();
    Report.Slots = 4;
    Report.Sequence = Sequence;
    Report.Phase = Phase;
    Proxy.onReport(Report);
  }

  static PeerCall call(const std::string &Id, std::uint64_t Fingerprint) {
    PeerCall Call;
    Call.Fingerprint = Fingerprint;
    Call.Head = "GET /x HTTP/1.1\r\nHost: h\r\n";
    Call.RequestId = Id;
    Call.Route = "r";
    Call.Service = "shop";
    Call.Idempotent = true;
    Call.TimeLeft = Duration::millis(400);
    Call.Objective = Duration::seconds(1);
    return Call;
  }

  PeerAnswer run(const std::string &Id, std::uint64_t Fingerprint = 1) {
    std::optional<PeerAnswer> Result;
    Proxy.submit(call(Id, Fingerprint),
                 [&](PeerAnswer Answer) { Result = std::move(Answer); });
    runUntil(Loop, Duration::seconds(2), [&] { return Result.has_value(); });
    cr_assert(Result.has_value());
    return *Result;
  }
};

std::string whole(const std::string &Id, const std::string &Body,
                  const std::string &Extra = "Camphorpin-Stamp: s\r\n") {
  return "HTTP/1.1 200 OK\r\nCamphorpin-Request: " + Id + "\r\n" + Extra +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

std::string refusal(const std::string &Id) {
  return "HTTP/1.1 503 Busy\r\nCamphorpin-Request: " + Id +
         "\r\nCamphorpin-Shed: 1\r\nContent-Length: 0\r\n\r\n";
}

} // namespace

// Guards against a copy of an earlier refusal that is taken for the answer to a
// later request on the connection: it would say "not run" of a request that
// runs.
Test(BackendProxy, copyOfARefusalIsNotTakenForALaterAnswer) {
  for (const char *Next : {"2", "1"}) {
    ProxyFixture Fixture({refusal("1"), whole(Next, "ran")});
    Fixture.Backend.LateBytes = refusal("1");
    cr_assert_eq(Fixture.run("1").verdict(), Verdict::NotRun);
    cr_assert_eq(Fixture.run(Next).Body, std::string("ran"), "request %s",
                 Next);
  }
}

// Guards against an answer that ends in the middle of its head, or before its
// body is complete, and counts as a complete one.
Test(BackendProxy, answerThatBreaksOffIsAFailure) {
  const std::string Framed = whole("1", "one");
  const std::string Unframed =
      "HTTP/1.1 200 OK\r\nCamphorpin-Request: 1\r\nCamphorpin-Stamp: s\r\n\r\n";
  for (const std::string &Answer : {Framed, Unframed}) {
    for (std::size_t Length = 1; Length < Answer.size(); ++Length) {
      ProxyFixture Fixture({Answer.substr(0, Length)});
      Fixture.Backend.CloseAfterAnswer = true;
      const PeerAnswer Result = Fixture.run("1");
      cr_assert_eq(Result.verdict(), Verdict::MayHaveRun, "after %zu bytes",
                   Length);
      cr_assert(Result.Body.empty());
    }
  }
}

// Guards against a late duplicate response to an earlier request that is
// delivered to another caller.
Test(BackendProxy, responseToAnotherRequestIsSkipped) {
  ProxyFixture Fixture(
      {whole("1", "one"), whole("1", "again") + whole("2", "two")});
  cr_assert_eq(Fixture.run("1").Body, std::string("one"));
  cr_assert_eq(Fixture.run("2").Body, std::string("two"));
}

// Guards against a late response without an id, for example to a health check,
// that is taken for that of the next request on the connection: it would say
// "not run" of a request that runs.
Test(BackendProxy, responseWithoutIdOnReusedConnectionIsNotBelieved) {
  ProxyFixture Fixture(
      {whole("1", "one"),
       "HTTP/1.1 503 Busy\r\nCamphorpin-Shed: 1\r\nContent-Length: 0\r\n\r\n"});
  cr_assert_eq(Fixture.run("1").Body, std::string("one"));
  cr_assert_eq(Fixture.run("2").verdict(), Verdict::MayHaveRun);
}

// Guards against a late response to a request that is taken for the answer to a
// health check.
Test(BackendProxy, lateResponseIsNoHealthCheck) {
  EventLoop Loop;
  RawBackend Backend(Loop,
                     {whole("1", "late", "Camphorpin-Backend-Id: b9\r\n")});
  const auto Connection =
      std::make_shared<HttpConnection>(Loop, Backend.Address);
  ExchangeRequest Check;
  Check.Bytes = "GET /other HTTP/1.1\r\nHost: h\r\n\r\n";
  Check.IdHeader = "Camphorpin-Request";
  bool Ended = false;
  Connection->exchange(std::move(Check),
                       [&](const ExchangeResult &) { Ended = true; });
  runUntil(Loop, Duration::millis(200), [&] { return Ended; });
  cr_assert_not(Ended);
}

// Guards against reuse of a connection with unread surplus bytes.
Test(BackendProxy, connectionWithSurplusBytesIsNotReused) {
  ProxyFixture Fixture({whole("1", "one") + "surplus", whole("2", "two")});
  cr_assert_eq(Fixture.run("1").Body, std::string("one"));
  cr_assert_eq(Fixture.run("2").Body, std::string("two"));
  cr_assert_eq(Fixture.Backend.Connections, 2);
}

// Guards the verdict "not run": only an explicit statement of the backend
// server counts, not the status.
Test(BackendProxy, notRunVerdictNeedsExplicitHeader) {
  ProxyFixture Silent({"HTTP/1.1 503 Busy\r\nCamphorpin-Request: 1\r\n"
                       "Content-Length: 0\r\n\r\n"});
  cr_assert_eq(Silent.run("1").verdict(), Verdict::MayHaveRun);
  ProxyFixture Stating({"HTTP/1.1 503 Busy\r\nCamphorpin-Request: 1\r\n"
                        "Camphorpin-Shed: 1\r\nContent-Length: 0\r\n\r\n"});
  cr_assert_eq(Stating.run("1").verdict(), Verdict::NotRun);
}

// Guards against delivery of truncated, unstamped or encoded bodies.
Test(BackendProxy, invalidResponsesAreFailures) {
  const std::vector<std::string> Broken = {
      whole("1", "one", ""),
      whole("1", "one", "Camphorpin-Stamp: s\r\nContent-Encoding: gzip\r\n"),
      "no http at all\r\n\r\n", "close"};
  for (const std::string &Bytes : Broken) {
    ProxyFixture Fixture({Bytes});
    const PeerAnswer Answer = Fixture.run("1");
    cr_assert_eq(Answer.Outcome, CallOutcome::Failed);
    cr_assert(Answer.Body.empty());
  }
}

// Guards against a caller that waits forever: a server may never answer.
Test(BackendProxy, requestWithoutResponseEndsAtDeadline) {
  ProxyFixture Fixture({""});
  const PeerAnswer Answer = Fixture.run("1");
  cr_assert_eq(Answer.Outcome, CallOutcome::Failed);
  cr_assert_eq(Answer.Reason, RefusalReason::Deadline);
}

// Guards against requests to another server that was given the address of the
// backend server.
Test(BackendProxy, mismatchedBackendGetsNoFurtherRequests) {
  ProxyFixture Fixture({"HTTP/1.1 421 Other\r\nCamphorpin-Request: 1\r\n"
                        "Content-Length: 0\r\n\r\n"});
  cr_assert_eq(Fixture.run("1").verdict(), Verdict::NotRun);
  cr_assert_not(Fixture.Proxy.status().Available);
  cr_assert_eq(Fixture.run("2").Outcome, CallOutcome::Refused);
  cr_assert_eq(Fixture.Backend.Requests, 1);
}

// Guards against a request that crashes every backend server that runs it, and
// against other requests being suspected.
Test(BackendProxy, requestsThatRanAtTwoCrashesAreRefused) {
  ProxyFixture Fixture({"close"});
  const std::uint64_t Crashing = 4711;
  const std::uint64_t Unrelated = 4712;
  Fixture.run("lost", Unrelated);
  runUntil(Fixture.Loop, Duration::millis(50), [] { return false; });
  cr_assert_not(Fixture.Proxy.isCrashSuspect(Unrelated));
  PeerCrashes Reported;
  Fixture.Proxy.setCrashListener(
      [&](const PeerCrashes &Crashes) { Reported = Crashes; });
  Fixture.Backend.crashOnNextRequest();
  Fixture.run("crash", Crashing);
  runUntil(Fixture.Loop, Duration::seconds(1),
           [&] { return !Reported.Notices.empty(); });
  cr_assert_eq(Reported.Notices.size(), 1);
  cr_assert_eq(Reported.Notices.front().Fingerprint, Crashing);
  cr_assert_not(Fixture.Proxy.isCrashSuspect(Crashing));
  Fixture.Proxy.addCrashes({{{Crashing, 99}}});
  cr_assert(Fixture.Proxy.isCrashSuspect(Crashing));
  cr_assert_not(Fixture.Proxy.isCrashSuspect(Unrelated));
}

// A crashed server may accept connections again before a node that was
// suspended has tried to connect. Its crashes would never be counted.
Test(BackendProxy, replacedServerHasCrashedThoughItAcceptsConnections) {
  constexpr std::uint64_t Crashing = 4711;
  const auto Nothing = [] {};
  for (const bool ReportedFirst : {false, true}) {
    ProxyFixture Fixture({"close"});
    const auto Replace = [&] { Fixture.report("b2", 1); };
    const PeerCrashes Reported =
        ReportedFirst ? Fixture.crashesAfterLostRun(Crashing, Replace, Nothing)
                      : Fixture.crashesAfterLostRun(Crashing, Nothing, Replace);
    cr_assert_eq(Reported.Notices.size(), 1, "reported first: %d",
                 ReportedFirst);
    cr_assert_eq(Reported.Notices.front().Fingerprint, Crashing);
  }
}

// A lost answer must not make a suspect of its request, nor must a server that
// ends as announced.
Test(BackendProxy, lostRunOfALivingOrLeavingServerIsNoCrash) {
  constexpr std::uint64_t Unrelated = 4712;
  const auto Nothing = [] {};
  ProxyFixture Living({"close"});
  cr_assert(Living
                .crashesAfterLostRun(Unrelated, Nothing,
                                     [&] { Living.report("b1", 2); })
                .Notices.empty());
  ProxyFixture Leaving({"close"});
  const auto Leave = [&] {
    Leaving.report("b1", 2, BackendPhase::Draining);
    Leaving.report("b2", 1);
  };
  cr_assert(
      Leaving.crashesAfterLostRun(Unrelated, Nothing, Leave).Notices.empty());
}
