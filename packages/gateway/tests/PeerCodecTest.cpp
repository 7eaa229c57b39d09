#include "camphorpin/src/Gateway/PeerCodec.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace camphorpin;
using camphorpin::detail::DecodedFrame;
using camphorpin::detail::decodeFrame;
using camphorpin::detail::DecodeState;
using camphorpin::detail::encodeFrame;

namespace {

PeerCall sampleCall(const std::string &Body) {
  PeerCall Call;
  Call.Id = 77;
  Call.Head = "GET / HTTP/1.1\r\n";
  Call.Body = Body;
  Call.RequestId = "id";
  Call.Route = "r";
  Call.Service = "s";
  Call.Idempotent = true;
  Call.Rank = 2;
  Call.TimeLeft = Duration::millis(1234);
  Call.Objective = Duration::millis(99);
  return Call;
}

/// \returns an answer of a peer that passes on the status line
/// "HTTP/1.1 <Line>", as it is decoded.
PeerAnswer decodedAnswer(std::uint16_t Status, const std::string &Line) {
  PeerAnswer Answer;
  Answer.Id = 77;
  Answer.Outcome = CallOutcome::Answered;
  Answer.StatusCode = Status;
  Answer.Head = "HTTP/1.1 " + Line + "\r\nX: y\r\n";
  Answer.Body = "one";
  std::string Stream;
  encodeFrame(Answer, Stream);
  return std::get<PeerAnswer>(decodeFrame(Stream).Frame);
}

} // namespace

// Guards against a peer of an earlier version that passes on an answer that is
// none of the protocol: callers must not get it.
Test(PeerCodec, answerWithoutAValidHeadIsAFailure) {
  for (const std::uint16_t Status : {0, 1, 99, 100, 101, 199, 600, 999, 65535})
    cr_assert_eq(decodedAnswer(Status, std::to_string(Status) + " Odd").Outcome,
                 CallOutcome::Failed, "status %d", Status);
  cr_assert_eq(decodedAnswer(200, "404 Not Found").Outcome,
               CallOutcome::Failed);
  cr_assert_eq(decodedAnswer(200, "200 OK\r\n\r\nX: y").Outcome,
               CallOutcome::Failed);
  const PeerAnswer Whole = decodedAnswer(200, "200 OK");
  cr_assert_eq(Whole.verdict(), Verdict::Ran);
  cr_assert_eq(Whole.Body, std::string("one"));
  cr_assert_eq(decodedAnswer(599, "599 Odd").verdict(), Verdict::Ran);
}

// Guards against bodies that are changed or truncated between nodes.
Test(PeerCodec, callsRoundTripAndTruncationsAreIncomplete) {
  cr_assert(rc::check([](const std::string &Body) {
    std::string Stream;
    encodeFrame(sampleCall(Body), Stream);
    const DecodedFrame Whole = decodeFrame(Stream);
    RC_ASSERT(Whole.State == DecodeState::Frame);
    RC_ASSERT(Whole.Bytes == Stream.size());
    const PeerCall &Call = std::get<PeerCall>(Whole.Frame);
    RC_ASSERT(Call.Body == Body);
    RC_ASSERT(Call.TimeLeft == Duration::millis(1234));
    const std::size_t Cut = *rc::gen::inRange<std::size_t>(0, Stream.size());
    RC_ASSERT(decodeFrame(std::string_view(Stream).substr(0, Cut)).State ==
              DecodeState::Incomplete);
  }));
}

// Guards against a refusal that lasts longer at each node that hears of it
// late.
Test(PeerCodec, crashesKeepTheirAge) {
  std::string Stream;
  encodeFrame(PeerCrashes{{{5, 6, Duration::seconds(7)}}}, Stream);
  const PeerCrashes Decoded = std::get<PeerCrashes>(decodeFrame(Stream).Frame);
  cr_assert_eq(Decoded.Notices.front().Crash, 6U);
  cr_assert_eq(Decoded.Notices.front().Age, Duration::seconds(7));
}

// Guards against restores and departures that peers announce in vain.
Test(PeerCodec, eraAndDeparturesRoundTrip) {
  std::string Stream;
  encodeFrame(PeerDigest{7, 8, 9}, Stream);
  const PeerDigest Digest = std::get<PeerDigest>(decodeFrame(Stream).Frame);
  cr_assert_eq(Digest.StoreEra, 9U);
  Stream.clear();
  const DepartureNotice Notice{"shop-1", {{"i-1", 1'700'000'000'123}, {"", 0}}};
  encodeFrame(Notice, Stream);
  const DepartureNotice Decoded =
      std::get<DepartureNotice>(decodeFrame(Stream).Frame);
  cr_assert_eq(Decoded.Node, Notice.Node);
  cr_assert(Decoded.Departures == Notice.Departures);
}

Test(PeerCodec, updateRequestRoundTrips) {
  std::string Stream;
  const std::vector<std::uint32_t> Parts = {1, 0, 0xffffffff};
  encodeFrame(PeerUpdateRequest{7, 8, Parts}, Stream);
  const DecodedFrame Whole = decodeFrame(Stream);
  const PeerUpdateRequest &Request = std::get<PeerUpdateRequest>(Whole.Frame);
  cr_assert_eq(Request.Configuration, 7U);
  cr_assert_eq(Request.Members, 8U);
  cr_assert(Request.Parts == Parts);
}

// Guards against a malicious or faulty peer: any bytes are decoded, reported as
// incomplete, or rejected.
Test(PeerCodec, corruptedFramesDecodeWithinBounds) {
  cr_assert(rc::check([](const std::vector<std::uint8_t> &Noise) {
    std::string Stream;
    encodeFrame(sampleCall("body"), Stream);
    for (std::size_t Index = 0; Index + 1 < Noise.size(); Index += 2)
      Stream[Noise[Index] % Stream.size()] =
          static_cast<char>(Noise[Index + 1]);
    const DecodedFrame Result = decodeFrame(Stream);
    RC_ASSERT(Result.Bytes <= Stream.size());
  }));
  const std::string Huge("\x7f\xff\xff\xff\0\0\0\0", 8);
  cr_assert_eq(decodeFrame(Huge).State, DecodeState::Malformed);
}
