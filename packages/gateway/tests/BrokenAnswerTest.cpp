// Guards callers against backend servers whose answers break the protocol or
// break off: such an answer must end as a failure, and one that is complete
// must be delivered, also if the connection breaks afterwards.
#include "BrokenAnswers.h"
#include "GatewayFixture.h"
#include "ScriptedServer.h"

#include <criterion/criterion.h>
#include <span>
#include <utility>

using namespace camphorpin;
using namespace camphorpin::test;

namespace {

/// Larger than what the kernel takes at once for a connection.
constexpr std::size_t LongUploadBytes = 12U << 20U;
constexpr std::size_t LongAnswerBytes = 8U << 20U;
/// Deadline of requests that may end without an answer.
constexpr Duration ShortDeadline = Duration::seconds(1);

const std::string Fields = "Camphorpin-Request: 1\r\nCamphorpin-Stamp: s\r\n";

std::string answer(const std::string &StatusLine, const std::string &Extra,
                   const std::string &Body) {
  return StatusLine + "\r\n" + Fields + Extra + "\r\n" + Body;
}

/// A node's proxy in front of a server that gives each request one answer.
class BrokenAnswerFixture {
public:
  explicit BrokenAnswerFixture(const ScriptedAnswer &Given)
      : Backend([Given](std::string_view Head) {
          if (Head.starts_with("GET /health "))
            return ScriptedAnswer{std::string(HealthyHead) +
                                  "Content-Length: 0\r\n\r\n"};
          return Given;
        }),
        Settings(settings(*HostAddress::parse(Backend.address()))),
        Proxy(Loop, Time, Settings, Protocol, Log) {
    makeAvailable(Loop, Proxy, Settings.BackendAddress);
  }

  PeerAnswer run(std::string Body, Duration Deadline) {
    PeerCall Call;
    Call.TimeLeft = Deadline;
    Call.Fingerprint = 1;
    Call.Head = Body.empty() ? "GET /x HTTP/1.1\r\nHost: h\r\n"
                             : "POST /x HTTP/1.1\r\nHost: h\r\n";
    Call.Body = std::move(Body);
    Call.RequestId = "1";
    Call.Route = "r";
    Call.Service = "shop";
    Call.Objective = Duration::seconds(1);
    std::optional<PeerAnswer> Result;
    Proxy.submit(Call, [&](PeerAnswer Value) { Result = std::move(Value); });
    runUntil(Loop, Duration::seconds(8), [&] { return Result.has_value(); });
    cr_assert(Result.has_value());
    return *std::move(Result);
  }

private:
  static GatewaySettings settings(const HostAddress &Backend) {
    GatewaySettings Result;
    Result.Service = "shop";
    Result.BackendAddress = Backend;
    return Result;
  }

  EventLoop Loop;
  SystemClock Time;
  PlainProtocol Protocol;
  EventLog Log{{"error", ""}, Time};
  ScriptedServer Backend;
  GatewaySettings Settings;
  BackendProxy Proxy;
};

PeerAnswer run(const ScriptedAnswer &Given, std::string Body = {},
               Duration Deadline = Duration::seconds(5)) {
  BrokenAnswerFixture Fixture(Given);
  return Fixture.run(std::move(Body), Deadline);
}

const std::string StatusOk = "HTTP/1.1 200 OK";
const std::string Three = "Content-Length: 3\r\n";
const std::string Chunked = "Transfer-Encoding: chunked\r\n";

void expectFailure(const std::string &Name, const PeerAnswer &Got) {
  cr_expect_eq(Got.verdict(), Verdict::MayHaveRun, "%s: %s", Name.c_str(),
               std::string(toString(Got.Reason)).c_str());
  cr_expect(Got.Head.empty() && Got.Body.empty(), "%s", Name.c_str());
}

/// Expects that each answer ends as a failure, whether its connection then
/// stays open, ends, or is reset during a long upload.
void expectFailures(std::span<const NamedAnswer> Answers) {
  const std::string Upload(LongUploadBytes, 'u');
  for (const NamedAnswer &Item : Answers) {
    for (const AfterAnswer Then : {AfterAnswer::KeepOpen, AfterAnswer::Close})
      expectFailure(Item.Name, run({Item.Bytes, Then}, {}, ShortDeadline));
    expectFailure(Item.Name, run({Item.Bytes, AfterAnswer::Reset}, Upload));
  }
}

} // namespace

// Guards against a status that the protocol doesn't have, which callers would
// get as an answer.
Test(BrokenAnswer, impossibleStatusIsAFailure) {
  expectFailures(impossibleStatuses(Fields));
}

// Guards against a head that the protocol rules out, which callers would get
// in part, or with a body that is not the server's.
Test(BrokenAnswer, malformedHeadIsAFailure) {
  expectFailures(malformedHeads(Fields));
}

// Guards against a body whose end is in doubt.
Test(BrokenAnswer, doubtfulLengthIsAFailure) {
  expectFailures(doubtfulLengths(Fields));
}

// Guards against chunks that the protocol rules out.
Test(BrokenAnswer, malformedChunksAreAFailure) {
  expectFailures(malformedChunks(Fields));
}

// Guards against an answer without a length whose connection was reset while
// the request was still being written: the failed write reports the reset, and
// the read then only sees an end, which looks like an orderly one.
Test(BrokenAnswer, resetDuringUploadIsAFailure) {
  const std::string Upload(LongUploadBytes, 'u');
  for (const std::size_t Bytes : {std::size_t(3), LongAnswerBytes}) {
    const PeerAnswer Got =
        run({answer(StatusOk, "", std::string(Bytes, 'b')), AfterAnswer::Reset},
            Upload);
    cr_assert_eq(Got.verdict(), Verdict::MayHaveRun, "%zu bytes", Bytes);
    cr_assert(Got.Body.empty(), "%zu bytes", Bytes);
  }
}

// Guards against answers without a length that end with a reset, with a request
// that was written whole.
Test(BrokenAnswer, resetAfterShortRequestIsAFailure) {
  for (const std::size_t Bytes : {std::size_t(3), LongAnswerBytes}) {
    const PeerAnswer Got = run(
        {answer(StatusOk, "", std::string(Bytes, 'b')), AfterAnswer::Reset});
    cr_assert_eq(Got.verdict(), Verdict::MayHaveRun, "%zu bytes", Bytes);
    cr_assert(Got.Body.empty(), "%zu bytes", Bytes);
  }
}

// Guards against the loss of an answer that is complete when its connection
// breaks off, whether or not the request was written whole.
Test(BrokenAnswer, completeAnswerSurvivesALaterReset) {
  const std::string Long(LongAnswerBytes, 'b');
  const std::string LongLength =
      "Content-Length: " + std::to_string(LongAnswerBytes) + "\r\n";
  const std::vector<std::pair<ScriptedAnswer, std::size_t>> Given = {
      {{answer(StatusOk, Three, "one"), AfterAnswer::Reset}, 3},
      {{answer(StatusOk, Three, "one"), AfterAnswer::CloseThenReset}, 3},
      {{answer(StatusOk, Chunked, "3\r\none\r\n0\r\n\r\n"), AfterAnswer::Reset},
       3},
      {{answer(StatusOk, "", "one"), AfterAnswer::CloseThenReset}, 3},
      {{answer(StatusOk, LongLength, Long), AfterAnswer::CloseThenReset},
       LongAnswerBytes},
      {{answer(StatusOk, "", Long), AfterAnswer::CloseThenReset},
       LongAnswerBytes},
  };
  for (std::size_t Index = 0; Index < Given.size(); ++Index) {
    for (const std::size_t Upload : {std::size_t(0), LongUploadBytes}) {
      const PeerAnswer Got = run(Given[Index].first, std::string(Upload, 'u'));
      cr_assert_eq(Got.verdict(), Verdict::Ran, "answer %zu, upload of %zu",
                   Index, Upload);
      cr_assert_eq(Got.Body.size(), Given[Index].second,
                   "answer %zu, upload of %zu", Index, Upload);
    }
  }
}

// Guards against a trailer that counts as a part of the head: it could say that
// a request did not run, or replace the stamp that an answer lacks.
Test(BrokenAnswer, trailersAreNoPartOfTheHead) {
  const std::string Start = "3\r\none\r\n0\r\n";
  const PeerAnswer Ran = run({answer(
      StatusOk, Chunked, Start + "Camphorpin-Shed: 1\r\nX: y\r\n\r\n")});
  cr_assert_eq(Ran.verdict(), Verdict::Ran);
  cr_assert_eq(Ran.Body, std::string("one"));
  cr_assert_eq(Ran.Head.find("X: y"), std::string::npos);
  const PeerAnswer Unstamped =
      run({"HTTP/1.1 200 OK\r\nCamphorpin-Request: 1\r\n" + Chunked + "\r\n" +
           Start + "Camphorpin-Stamp: s\r\n\r\n"});
  cr_assert_eq(Unstamped.verdict(), Verdict::MayHaveRun);
}

// Guards the answers that the protocol allows against the checks of the others.
Test(BrokenAnswer, allowedFormsAreDelivered) {
  for (const NamedAnswer &Item : allowedForms(Fields)) {
    for (const AfterAnswer Then : {AfterAnswer::KeepOpen, AfterAnswer::Close}) {
      const PeerAnswer Got = run({Item.Bytes, Then});
      cr_assert_eq(Got.verdict(), Verdict::Ran, "%s", Item.Name.c_str());
      cr_assert_eq(Got.Body, std::string("one"), "%s", Item.Name.c_str());
    }
  }
  const PeerAnswer Unframed =
      run({answer(StatusOk, "", "one"), AfterAnswer::Close});
  cr_assert_eq(Unframed.Body, std::string("one"));
  const PeerAnswer Empty =
      run({answer("HTTP/1.1 204 No Content", "Content-Length: 0\r\n", "")});
  cr_assert_eq(Empty.verdict(), Verdict::Ran);
}
