// Guards the records of a node against answers of the platform's store that
// break the protocol or break off: a write that such an answer acknowledges
// may not have been done, and is sent again.
#include "BrokenAnswers.h"
#include "GatewayFixture.h"
#include "ScriptedServer.h"
#include "camphorpin/src/Gateway/StoreWriter.h"

#include <atomic>
#include <criterion/criterion.h>
#include <string>
#include <vector>

using namespace camphorpin;
using namespace camphorpin::test;

namespace {

/// Larger than what the kernel takes at once for a connection.
constexpr std::size_t LongRecordBytes = 12U << 20U;

/// \returns how many times a record is sent to a store that answers the first
/// time with \p First and then acknowledges.
int sends(const ScriptedAnswer &First, std::size_t RecordBytes = 10) {
  std::atomic<int> Sends = 0;
  ScriptedServer Store([&](std::string_view) {
    if (Sends++ == 0)
      return First;
    return ScriptedAnswer{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
  });
  EventLoop Loop;
  const SystemClock Time;
  SeededRandom RandomSource(1);
  const AppendProtocol Protocol;
  StoreWriter Writer(Loop, Time, RandomSource,
                     *HostAddress::parse(Store.address()), Protocol,
                     StoreFeed::Departures, {});
  Writer.write({"node", std::string(RecordBytes, 'r')});
  runUntil(Loop, Duration::seconds(5), [&] { return Writer.idle(); });
  cr_expect(Writer.idle());
  return Sends;
}

} // namespace

Test(StoreAnswer, malformedAnswerIsNoAcknowledgement) {
  std::vector<NamedAnswer> Broken = malformedHeads("");
  for (const NamedAnswer &Item : doubtfulLengths(""))
    Broken.push_back(Item);
  for (const NamedAnswer &Item : Broken)
    cr_expect_eq(sends({Item.Bytes}), 2, "%s", Item.Name.c_str());
}

// The failed write of a large record takes the error of the reset.
Test(StoreAnswer, answerThatEndsWithAResetIsNoAcknowledgement) {
  for (const std::size_t Bytes : {std::size_t(10), LongRecordBytes})
    cr_expect_eq(
        sends({"HTTP/1.1 200 OK\r\n\r\none", AfterAnswer::Reset}, Bytes), 2,
        "record of %zu bytes", Bytes);
}

Test(StoreAnswer, wholeAnswersAreAcknowledgements) {
  for (const NamedAnswer &Item : allowedForms(""))
    cr_expect_eq(sends({Item.Bytes}), 1, "%s", Item.Name.c_str());
  cr_expect_eq(sends({"HTTP/1.1 200 OK\r\n\r\none", AfterAnswer::Close}), 1);
}
