// Guards callers of a stand-alone node against backend servers whose answers
// break the protocol or break off: such an answer must not count as run, and
// one that is complete must be delivered, also if the connection breaks
// afterwards.
#include "BrokenAnswers.h"
#include "ScriptedServer.h"
#include "camphorpin/src/Daemon/BackendClient.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <span>
#include <string>
#include <utility>
#include <vector>

using namespace camphorpin;
using namespace camphorpin::test;

namespace {

/// Larger than what the kernel takes at once for a connection.
constexpr std::size_t LongUploadBytes = 12U << 20U;
constexpr std::size_t LongAnswerBytes = 8U << 20U;
constexpr std::size_t MaxBodyBytes = 16U << 20U;

const std::string StatusOk = "HTTP/1.1 200 OK\r\n";
const std::string Three = "Content-Length: 3\r\n";
const std::string Chunked = "Transfer-Encoding: chunked\r\n";

BackendJob job(const Clock &Time, std::string Upload, Duration Deadline) {
  BackendJob Result;
  Result.Context.Service = ServiceName("orders");
  Result.Context.Operation = OperationName("place");
  Result.Context.Caller = CallerName("shop");
  Result.Context.Remaining = Deadline;
  std::shared_ptr<Payload> Body = std::make_shared<Payload>();
  Body->Method = Upload.empty() ? "GET" : "POST";
  Body->Body = std::move(Upload);
  Result.Body = std::move(Body);
  Result.Start = Time.now();
  return Result;
}

BackendDone run(const ScriptedAnswer &Given, std::string Upload = {},
                Duration Deadline = Duration::seconds(5)) {
  SystemClock Time;
  ScriptedServer Backend([&Given](std::string_view) { return Given; });
  BackendClient Client(*HostAddress::parse(Backend.address()), MaxBodyBytes,
                       Time);
  return Client.run(job(Time, std::move(Upload), Deadline));
}

void expectFailure(const std::string &Name, const BackendDone &Got) {
  cr_expect_eq(Got.Result.Verdict, Verdict::MayHaveRun, "%s", Name.c_str());
  cr_expect_not(Got.Body, "%s", Name.c_str());
}

/// Expects that no answer counts as run, whether its connection then stays
/// open, ends, or is reset during a long upload.
void expectFailures(std::span<const NamedAnswer> Answers) {
  const std::string Upload(LongUploadBytes, 'u');
  for (const NamedAnswer &Item : Answers) {
    for (const AfterAnswer Then : {AfterAnswer::KeepOpen, AfterAnswer::Close})
      expectFailure(Item.Name,
                    run({Item.Bytes, Then}, {}, Duration::seconds(1)));
    expectFailure(Item.Name, run({Item.Bytes, AfterAnswer::Reset}, Upload));
  }
}

} // namespace

// Guards against a status that the protocol doesn't have.
Test(BackendAnswer, impossibleStatusIsAFailure) {
  expectFailures(impossibleStatuses(""));
}

// Guards against a head that the protocol rules out, which callers would get
// in part, or with a body that is not the server's.
Test(BackendAnswer, malformedHeadIsAFailure) {
  expectFailures(malformedHeads(""));
}

// Guards against a body whose end is in doubt.
Test(BackendAnswer, doubtfulLengthIsAFailure) {
  expectFailures(doubtfulLengths(""));
}

// Guards against chunks that the protocol rules out.
Test(BackendAnswer, malformedChunksAreAFailure) {
  expectFailures(malformedChunks(""));
}

// Guards against an answer without a length that ends with a reset, during the
// upload and after it.
Test(BackendAnswer, resetIsAFailure) {
  for (const std::size_t Upload : {std::size_t(0), LongUploadBytes}) {
    for (const std::size_t Bytes : {std::size_t(3), LongAnswerBytes}) {
      const BackendDone Got =
          run({StatusOk + "\r\n" + std::string(Bytes, 'b'), AfterAnswer::Reset},
              std::string(Upload, 'u'));
      cr_expect_eq(Got.Result.Verdict, Verdict::MayHaveRun,
                   "%zu bytes, upload of %zu", Bytes, Upload);
    }
  }
}

// Guards against the loss of an answer that is complete when its connection
// breaks off, whether or not the request was written whole.
Test(BackendAnswer, completeAnswerSurvivesALaterReset) {
  const std::string Long(LongAnswerBytes, 'b');
  const std::string LongLength =
      "Content-Length: " + std::to_string(LongAnswerBytes) + "\r\n";
  const std::vector<std::pair<ScriptedAnswer, std::size_t>> Given = {
      {{StatusOk + Three + "\r\none", AfterAnswer::Reset}, 3},
      {{StatusOk + Three + "\r\none", AfterAnswer::CloseThenReset}, 3},
      {{StatusOk + Chunked + "\r\n3\r\none\r\n0\r\n\r\n", AfterAnswer::Reset},
       3},
      {{StatusOk + "\r\none", AfterAnswer::CloseThenReset}, 3},
      {{StatusOk + LongLength + "\r\n" + Long, AfterAnswer::CloseThenReset},
       LongAnswerBytes},
      {{StatusOk + "\r\n" + Long, AfterAnswer::CloseThenReset},
       LongAnswerBytes},
  };
  for (std::size_t Index = 0; Index < Given.size(); ++Index) {
    for (const std::size_t Upload : {std::size_t(0), LongUploadBytes}) {
      const BackendDone Got = run(Given[Index].first, std::string(Upload, 'u'));
      cr_expect_eq(Got.Result.Verdict, Verdict::Ran,
                   "answer %zu, upload of %zu", Index, Upload);
      cr_expect(Got.Body && Got.Body->Body.size() == Given[Index].second,
                "answer %zu, upload of %zu", Index, Upload);
    }
  }
}

// Guards against headers that a node changes on their way: a value with escaped
// line breaks would become two headers.
Test(BackendAnswer, headersArePassedOnUnchanged) {
  const BackendDone Got = run(
      {StatusOk + "X-Path: /a%20b%0d%0aX-Other: c\r\n" + Three + "\r\none"});
  cr_assert_eq(Got.Result.Verdict, Verdict::Ran);
  const std::vector<HeaderField> &Headers = Got.Body->Headers;
  const auto Found = std::find_if(
      Headers.begin(), Headers.end(),
      [](const HeaderField &Field) { return Field.Name == "X-Path"; });
  cr_assert(Found != Headers.end());
  cr_assert_eq(Found->Value, std::string("/a%20b%0d%0aX-Other: c"));
}

// Guards against a trailer that counts as a part of the head.
Test(BackendAnswer, trailersAreNoPartOfTheHead) {
  const BackendDone Got =
      run({"HTTP/1.1 503 Busy\r\n" + Chunked +
           "\r\n3\r\none\r\n0\r\nCamphorpin-Shed: not-run\r\n\r\n"});
  cr_assert_eq(Got.Result.Verdict, Verdict::Ran);
  cr_assert_eq(Got.Body->Body, std::string("one"));
}

// Guards the answers that the protocol allows against the checks of the others.
Test(BackendAnswer, allowedFormsAreDelivered) {
  for (const NamedAnswer &Item : allowedForms("")) {
    for (const AfterAnswer Then : {AfterAnswer::KeepOpen, AfterAnswer::Close}) {
      const BackendDone Got = run({Item.Bytes, Then});
      cr_expect_eq(Got.Result.Verdict, Verdict::Ran, "%s", Item.Name.c_str());
      cr_expect(Got.Body && Got.Body->Body == "one", "%s", Item.Name.c_str());
    }
  }
  const BackendDone Unframed = run({StatusOk + "\r\none", AfterAnswer::Close});
  cr_expect_eq(Unframed.Result.Verdict, Verdict::Ran);
}
