// Guards the rules by which changes are accepted: each record has one outcome,
// and an accepted change stays in force.
#include "camphorpin/Configuration.h"

#include <criterion/criterion.h>

using namespace camphorpin;

namespace {

const DocumentName Mesh("mesh");

std::string change(std::uint64_t Base, std::string_view Id,
                   std::string_view Content = R"({"a":1})") {
  return formatRecord(
      ChangeRecord{Mesh, Base, std::string(Id), "op", std::string(Content)});
}

} // namespace

Test(ConfigurationFold, acceptsTheFirstOfTwoConflictingChanges) {
  ConfigurationFold Fold;
  cr_assert(Fold.apply(0, change(0, "a")).Kind == OutcomeKind::Accepted);
  cr_assert(Fold.apply(1, change(1, "b", R"({"b":2})")).Kind ==
            OutcomeKind::Accepted);
  const RecordOutcome Late = Fold.apply(2, change(1, "c"));
  cr_assert(Late.Kind == OutcomeKind::Conflict);
  cr_assert_eq(Late.Base, 1);
  cr_assert_eq(Late.InForce, 2);
  cr_assert_eq(Fold.document(Mesh)->Content, std::string(R"({"b":2})"));
}

// The reply to an append may be lost after it took effect. The repeated append
// must be neither a conflict nor a second change.
Test(ConfigurationFold, detectsDuplicateAppends) {
  ConfigurationFold Fold;
  Fold.apply(0, change(0, "a"));
  cr_assert(Fold.apply(1, change(0, "a")).Kind == OutcomeKind::Duplicate);
  for (std::uint64_t Version = 1; Version <= MaxChangeIds; ++Version)
    Fold.apply(Version + 1, change(Version, "n" + std::to_string(Version)));
  const std::uint64_t Digest = Fold.digest();
  cr_assert(Fold.apply(50, change(0, "a")).Kind == OutcomeKind::Conflict,
            "an evicted id is still rejected by its base");
  cr_assert_eq(Fold.digest(), Digest);
  cr_assert_eq(Fold.document(Mesh)->ChangeIds.size(), MaxChangeIds);
}

Test(ConfigurationFold, skipsAndCountsMalformedRecords) {
  ConfigurationFold Fold;
  const std::string Deep = R"({"type":"change","content":)" +
                           std::string(5000, '[') + std::string(5000, ']') +
                           "}";
  const std::string Large(MaxRecordBytes + 1, ' ');
  for (std::string_view Body :
       {std::string_view(""), std::string_view("{"), std::string_view("[]"),
        std::string_view("\xff\xfe"), std::string_view("{\"type\":1}"),
        std::string_view(R"({"type":"change","document":"mesh","base":-1})"),
        std::string_view(R"({"type":"restate","document":"mesh"})"),
        std::string_view(Deep), std::string_view(Large)})
    cr_assert(Fold.apply(Fold.nextOffset(), Body).Kind == OutcomeKind::Invalid);
  cr_assert_eq(Fold.invalidRecords(), 9);
  cr_assert(Fold.apply(9, R"({"type":"audit"})").Kind == OutcomeKind::Ignored);
  const EntryRecord Entry{
      {0x7f000001, 7000}, 5, ZoneName("a"), RegionName("r")};
  cr_assert(Fold.apply(10, formatRecord(Entry)).Entry == Entry);
  cr_assert(Fold.documentNames().empty());
}

// The homes of the largest service need more room than a policy.
Test(ConfigurationFold, limitsTheSizeOfContents) {
  ConfigurationFold Fold;
  const std::string Large = R"({"a":")" + std::string(100000, 'x') + "\"}";
  cr_assert(Fold.apply(0, change(0, "a", Large)).Kind == OutcomeKind::Invalid);
  const ChangeRecord Homes{DocumentName("homes/orders"), 0, "a", "n", Large};
  cr_assert(Fold.apply(1, formatRecord(Homes)).Kind == OutcomeKind::Accepted);
}

Test(ConfigurationFold, ignoresRecordsBelowTheNextOffset) {
  ConfigurationFold Fold;
  Fold.apply(0, change(0, "a"));
  cr_assert(Fold.apply(0, change(0, "a")).Kind == OutcomeKind::Ignored);
  cr_assert_eq(Fold.takeChanged().size(), 1);
  cr_assert(Fold.takeChanged().empty());
}

// A new node must not start with a state that differs from the sender's.
Test(ConfigurationFold, restoresVerifiedSnapshots) {
  ConfigurationFold Fold;
  Fold.apply(0, change(0, "a"));
  const std::uint64_t Before = Fold.digest();
  Fold.apply(1, change(1, "b"));
  FoldSnapshot Snapshot = Fold.snapshot().value();
  std::optional<ConfigurationFold> Copy = ConfigurationFold::restore(Snapshot);
  cr_assert(Copy.has_value());
  cr_assert_eq(Copy->digest(), Fold.digest());
  cr_assert(Copy->apply(2, change(1, "b")).Kind == OutcomeKind::Duplicate);
  cr_assert_eq(Fold.digestAt(1).value(), Before);
  cr_assert_not(Fold.digestAt(3).has_value());
  Snapshot.Documents[0].Content = "{}";
  cr_assert_not(ConfigurationFold::restore(Snapshot).has_value());
}

// Without noteRetainedLogRead() no document could be created on a log whose
// first offsets expired before the first node started.
Test(ConfigurationFold, createsDocumentsOnALogWithoutRestates) {
  ConfigurationFold Fold(500);
  cr_assert(Fold.apply(510, change(0, "a")).Kind == OutcomeKind::UnknownBase);
  cr_assert_not(Fold.snapshot().has_value());
  Fold.noteRetainedLogRead();
  cr_assert_eq(Fold.document(Mesh)->Version, 1);
  cr_assert(Fold.resolved());
}

// A fold that fell behind the log's retention keeps its documents in force, but
// must not accept a change on a base that may be outdated.
Test(ConfigurationFold, keepsDocumentsInForceAfterLostRecords) {
  ConfigurationFold Fold;
  Fold.apply(0, change(0, "a"));
  Fold.skipTo(10);
  cr_assert_eq(Fold.document(Mesh)->Version, 1);
  cr_assert(Fold.apply(10, change(1, "b")).Kind == OutcomeKind::UnknownBase);
  cr_assert_eq(Fold.document(Mesh)->Version, 1);
  RestateRecord Restate{Mesh, 4, {"x"}, R"({"x":1})", 9, 1};
  Fold.apply(11, formatRecord(Restate));
  cr_assert_eq(Fold.document(Mesh)->Version, 1,
               "a restate from before the gap misses changes");
  Restate.AsOf = 11;
  Fold.apply(12, formatRecord(Restate));
  cr_assert_eq(Fold.document(Mesh)->Version, 4);
  cr_assert(Fold.resolved());
}

Test(ConfigurationFold, lateFoldEvictsOldestBufferedChanges) {
  ConfigurationFold Fold(1);
  std::uint64_t Offset = 1;
  for (; Offset <= ChangeBuffer::MaxChanges + 10; ++Offset)
    Fold.apply(Offset, change(Offset, "n" + std::to_string(Offset)));
  RestateRecord Restate{Mesh, 8, {}, "{}", 8, 1};
  Fold.apply(Offset++, formatRecord(Restate));
  cr_assert(Fold.document(Mesh) == nullptr,
            "changes after the restate's AsOf were dropped");
  Restate.AsOf = 20;
  Restate.Version = 20;
  Fold.apply(Offset, formatRecord(Restate));
  cr_assert_eq(Fold.document(Mesh)->Version, ChangeBuffer::MaxChanges + 11);
}
