// Tests that a mirror fences its home in whatever order the messages arrive, so
// that reordering cannot make a key run twice.
#include "camphorpin/Claims.h"

#include <criterion/criterion.h>
#include <cstdio>
#include <malloc.h>
#include <set>

using namespace camphorpin;

namespace {

constexpr std::int64_t Wall = 1780000000000;

ProcessId process(std::uint32_t Host) { return {HostAddress{Host, 7000}, 1}; }

/// \class MirrorFixture
/// \brief A mirror in the first epoch of a set of two homes; records what the
/// mirror answers.
class MirrorFixture final : public ClaimActions {
public:
  MirrorFixture() : Mirror(process(2), ClaimOptions(), *this, Time) {
    const std::vector<HomeCandidate> Homes = {{process(1), ZoneName("a")},
                                              {process(2), ZoneName("b")}};
    Set = HomeSet().next(Homes);
    Mirror.adopt(Set);
  }

  void sendClaim(const ProcessId &, const ClaimMessage &Message) override {
    Last = Message;
    ++Sent;
  }
  void reportDecision(SendId, const ClaimDecision &) override {}
  void dropAnswer(AnswerId) override {}

  void sendFullTable() {
    SyncPage Page;
    Page.Home = process(1);
    Page.Epoch = 1;
    Page.LinkSince = 1;
    Page.SyncId = 1;
    Page.Last = true;
    Mirror.onMessage(Page);
  }

  bool sendCopy(const RequestKey &Key, std::uint64_t Serial, Epoch Number = 1) {
    Mirror.onMessage(CopyClaim{process(1), Number, 1, Serial, Key});
    return std::get<CopyAnswer>(Last).Accepted;
  }

  /// Makes the second home take over all keys of the first, which fences
  /// the first home at the mirror in the first epoch.
  ResolvePage fenceEpoch() {
    const std::vector<HomeCandidate> Rest = {{process(2), ZoneName("b")}};
    Set = Set.next(Rest);
    Mirror.adopt(Set);
    ResolveRequest Request{process(2), process(1), Set.epoch(), 1, {}};
    Mirror.onMessage(Request);
    return std::get<ResolvePage>(Last);
  }

  RequestKey key() { return RequestKey::make(Time.wallNow(), Source); }

  ManualClock Time{Instant::fromMillis(Wall)};
  SeededRandom Source{9};
  ClaimMirror Mirror;
  HomeSet Set;
  ClaimMessage Last;
  std::size_t Sent = 0;
};

} // namespace

// Guards against a delayed release that erases the copy of a newer claim of the
// same key.
Test(ClaimMirror, lateReleaseKeepsNewerClaim) {
  MirrorFixture Fixture;
  Fixture.sendFullTable();
  const RequestKey Key = Fixture.key();
  cr_assert(Fixture.sendCopy(Key, 1));
  cr_assert(Fixture.sendCopy(Key, 2));
  Fixture.Mirror.onMessage(ReleaseClaim{process(1), 1, Key});
  cr_assert_eq(Fixture.fenceEpoch().Entries.size(), 1U);
}

// Guards against a delayed copy that replaces the serial of a newer claim, so
// that the release of the older claim would erase the key.
Test(ClaimMirror, lateCopyKeepsNewerSerial) {
  MirrorFixture Fixture;
  Fixture.sendFullTable();
  const RequestKey Key = Fixture.key();
  cr_assert(Fixture.sendCopy(Key, 2));
  cr_assert(Fixture.sendCopy(Key, 1));
  Fixture.Mirror.onMessage(ReleaseClaim{process(1), 1, Key});
  cr_assert_eq(Fixture.fenceEpoch().Entries.size(), 1U);
}

// Guards against accepted copies that a new home would not learn of.
Test(ClaimMirror, rejectsCopiesWithoutTableAndInFencedEpoch) {
  MirrorFixture Fixture;
  cr_assert_not(Fixture.sendCopy(Fixture.key(), 1),
                "copy accepted before the table arrived");
  Fixture.sendFullTable();
  cr_assert(Fixture.sendCopy(Fixture.key(), 2));
  const ResolvePage Page = Fixture.fenceEpoch();
  cr_assert(Page.Complete);
  cr_assert_eq(Page.Entries.size(), 1U);
  cr_assert_not(Fixture.sendCopy(Fixture.key(), 3),
                "copy of a fenced epoch accepted");
  cr_assert(Fixture.sendCopy(Fixture.key(), 4, 2),
            "copy of the current epoch rejected");
}

// Guards against a table that arrives after the fence and is then accepted. A
// mirror that fences an epoch before it has a table must report the table as
// incomplete and must reject a table of the fenced epoch later.
Test(ClaimMirror, rejectsTableOfEpochFencedBeforeItArrived) {
  MirrorFixture Fixture;
  cr_assert_not(Fixture.fenceEpoch().Complete);
  Fixture.sendFullTable();
  cr_assert_not(std::get<SyncAnswer>(Fixture.Last).Accepted);
  cr_assert_not(Fixture.sendCopy(Fixture.key(), 1));
}

// Guards against a table that counts as complete although a page was lost.
Test(ClaimMirror, tableWithMissingPageIsIncomplete) {
  MirrorFixture Fixture;
  SyncPage Page;
  Page.Home = process(1);
  Page.Epoch = 1;
  Page.LinkSince = 1;
  Page.SyncId = 1;
  Fixture.Mirror.onMessage(Page);
  Page.Page = 2;
  Page.Last = true;
  Fixture.Mirror.onMessage(Page);
  cr_assert_eq(Fixture.Sent, 1U,
               "page accepted although the previous one is missing");
  cr_assert_not(Fixture.fenceEpoch().Complete);
}

// Guards the memory limit of a node, 32 MB, of which the tables take the most.
Test(ClaimMirror, memoryPerKeyIsBounded) {
  constexpr std::size_t Count = 50000;
  SeededRandom Source(3);
  const std::size_t Before = mallinfo2().uordblks;
  ClaimTable Table(Count);
  // The clocks of callers differ by up to 5 s, so keys do not arrive in order.
  for (std::size_t Index = 0; Index < Count; ++Index)
    Table.put(RequestKey::make(Instant::fromMillis(
                                   Wall + static_cast<std::int64_t>(
                                              Index * 72 + Source.below(5000))),
                               Source),
              ClaimEntry());
  const std::size_t PerKey = (mallinfo2().uordblks - Before) / Count;
  std::fprintf(stderr, "%zu bytes of memory per key and table\n", PerKey);
  cr_assert(Table.full());
  cr_assert_leq(PerKey, 40U);
  Table.expireBefore(Instant::fromMillis(Wall + 72 * Count + 5000));
  cr_assert_eq(Table.size(), 0U);
}

// Guards the chunked storage against lost, duplicate or misplaced keys.
Test(ClaimTable, matchesSortedSetOfKeys) {
  ClaimTable Table(100000);
  std::set<RequestKey> Expected;
  SeededRandom Source(8);
  for (int Step = 0; Step < 20000; ++Step) {
    const RequestKey Key = RequestKey::make(
        Instant::fromMillis(
            Wall + static_cast<std::int64_t>(Source.below(3000) + Step / 4)),
        Source);
    Table.put(Key, ClaimEntry());
    Expected.insert(Key);
    if (Step % 3 == 0) {
      auto Near = Expected.lower_bound(
          RequestKey::make(Instant::fromMillis(Wall + Step / 5), Source));
      if (Near != Expected.end()) {
        Table.erase(*Near);
        Expected.erase(Near);
      }
    }
  }
  Table.expireBefore(Instant::fromMillis(Wall + 2000));
  std::erase_if(Expected, [](const RequestKey &Key) {
    return Key.createdAt() < Instant::fromMillis(Wall + 2000);
  });
  cr_assert_eq(Table.size(), Expected.size());
  std::vector<RequestKey> Listed;
  EntryPage Page;
  do {
    Page = Table.page(Listed.empty() ? RequestKey() : Listed.back(), 100,
                      [](const RequestKey &) { return true; });
    for (const TransferEntry &Entry : Page.Entries)
      Listed.push_back(Entry.Key);
  } while (Page.More);
  cr_assert(std::equal(Listed.begin(), Listed.end(), Expected.begin(),
                       Expected.end()));
  for (const RequestKey &Key : Expected)
    cr_assert_neq(Table.find(Key), nullptr);
}
