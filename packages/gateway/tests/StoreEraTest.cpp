// Guards records of a node against a store that is restored from an older copy:
// what it acknowledged in an earlier era may be lost.
#include "camphorpin/src/Gateway/StoreEra.h"
#include "GatewayFixture.h"
#include "ScriptedServer.h"
#include "camphorpin/src/Gateway/PeerDepartures.h"
#include "camphorpin/src/Gateway/StoreWriter.h"

#include <atomic>
#include <criterion/criterion.h>
#include <string>

using namespace camphorpin;
using namespace camphorpin::test;

namespace {

/// A protocol whose store tells its era in a header.
class EraProtocol final : public AppendProtocol {
public:
  std::optional<std::uint64_t>
  storeEra(const HttpResponse &Response) const override {
    return std::stoul(std::string(detail::headerOf(Response, "Era")));
  }
};

/// A writer, and a store that acknowledges each write at once.
struct WriterFixture {
  bool waitForWrites(int Count) {
    runUntil(Loop, Duration::seconds(3),
             [&] { return Writes >= Count && Writer.idle(); });
    return Writes == Count && Writer.idle();
  }

  std::atomic<int> Writes = 0;
  std::atomic<int> Era = 1;
  ScriptedServer Store{[this](std::string_view) {
    ++Writes;
    return ScriptedAnswer{"HTTP/1.1 200 OK\r\nEra: " + std::to_string(Era) +
                          "\r\nContent-Length: 0\r\n\r\n"};
  }};
  EventLoop Loop;
  SystemClock Time;
  SeededRandom RandomSource{1};
  EraProtocol Protocol;
  std::uint64_t AnsweredEra = 0;
  StoreWriter Writer{
      Loop,
      Time,
      RandomSource,
      *HostAddress::parse(Store.address()),
      Protocol,
      StoreFeed::Departures,
      [this](std::uint64_t Answered) { AnsweredEra = Answered; }};
};

} // namespace

Test(StoreEra, acknowledgedRecordIsWrittenAgainOnceInALaterEra) {
  WriterFixture Fixture;
  Fixture.Writer.write({"node", "record"});
  cr_assert(Fixture.waitForWrites(1));
  cr_assert_eq(Fixture.AnsweredEra, 1U);
  Fixture.Writer.onStoreEra(1);
  cr_assert(Fixture.Writer.idle());
  Fixture.Era = 2;
  Fixture.Writer.onStoreEra(2);
  cr_assert(Fixture.waitForWrites(2));
  Fixture.Writer.onStoreEra(2);
  cr_assert(Fixture.Writer.idle());
}

// The node has heard of the new era while the write was on its way.
Test(StoreEra, acknowledgementOfAnEarlierEraIsNone) {
  WriterFixture Fixture;
  Fixture.Writer.onStoreEra(2);
  Fixture.Writer.write({"node", "record"});
  runUntil(Fixture.Loop, Duration::seconds(3),
           [&] { return Fixture.Writes == 2; });
  cr_assert_not(Fixture.Writer.idle());
  Fixture.Era = 2;
  runUntil(Fixture.Loop, Duration::seconds(5),
           [&] { return Fixture.Writer.idle(); });
  cr_assert(Fixture.Writer.idle());
}

// A restarted node has read a record that it has not written itself.
Test(StoreEra, recordOfAnEarlierProcessIsWrittenAgain) {
  WriterFixture Fixture;
  Fixture.Writer.adopt({"node", "record"}, 1);
  cr_assert(Fixture.Writer.idle());
  Fixture.Era = 2;
  Fixture.Writer.onStoreEra(2);
  cr_assert(Fixture.waitForWrites(1));
}

// A wrong era must neither cause calls without end nor hide later eras.
Test(StoreEra, announcementsAreNotBelieved) {
  StoreEra Era;
  cr_assert(Era.onAnswer(4));
  cr_assert_not(Era.onAnswer(4));
  Instant Now = Instant::fromMillis(1000);
  cr_assert_not(Era.onAnnouncement(4, Now));
  cr_assert(Era.onAnnouncement(1'000'000, Now));
  cr_assert_eq(Era.latest(), 4U);
  Now = Now + Duration::millis(999);
  cr_assert_not(Era.onAnnouncement(1'000'000, Now));
  Now = Now + Duration::millis(1);
  cr_assert(Era.onAnnouncement(5, Now));
  cr_assert(Era.onAnswer(5));
  cr_assert_eq(Era.latest(), 5U);
}

// Peers keep the latest departures of a node until the servers have ended.
Test(StoreEra, departuresOfPeersAreBoundedAndExpire) {
  PeerDepartures Departures;
  const Instant Start = Instant::fromMillis(1000);
  DepartureNotice Notice{"shop-1", {}};
  for (int Count = 1; Count <= 1000; ++Count)
    Notice.Departures.push_back({"i-" + std::to_string(Count), Count});
  Departures.record(Notice, Start);
  Departures.record({"shop-1", {{std::string(1U << 20U, 'x'), 5}}}, Start);
  Departures.record({"shop-1", {{"i-1001", 1001}}}, Start);
  const std::vector<BackendDeparture> Kept = Departures.of("shop-1", Start);
  cr_assert_eq(Kept.size(), 8U);
  cr_assert_eq(Kept.back().Id, std::string("i-1001"));
  cr_assert(Departures.of("shop-2", Start).empty());
  const Instant Later = Start + Duration::seconds(60);
  cr_assert(Departures.of("shop-1", Later).empty());
  Departures.expire(Later);
  cr_assert(Departures.of("shop-1", Start).empty());
}
