// Guards the convergence of all folds: whatever the log contains, a fold that
// starts at any retained offset reaches the state of one that read from the
// first record, and no accepted version is ever reverted.
#include "camphorpin/Configuration.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <iostream>
#include <rapidcheck.h>

using namespace camphorpin;

namespace {

/// A third of the retention, in records.
constexpr std::uint64_t RetentionThird = 40;
constexpr std::uint64_t Retention = 3 * RetentionThird;
constexpr std::uint64_t LogLength = 200;
constexpr std::size_t DocumentCount = 4;

using OracleState = std::map<DocumentName, ConfigurationDocument>;

/// \class History
/// \brief A log written by operators and restating nodes, with the state after
/// each record according to the simplest possible fold, the oracle.
class History {
public:
  explicit History(const std::vector<std::uint32_t> &Choices) {
    States.emplace_back();
    for (std::uint32_t Choice : Choices) {
      SeededRandom Source(Choice);
      write(Source);
    }
  }

  std::vector<std::string> Bodies;
  /// The state before the record with the same index.
  std::vector<OracleState> States;

private:
  static DocumentName documentAt(std::uint64_t Index) {
    return DocumentName("service/s" + std::to_string(Index));
  }

  const OracleState &stateWithLag(std::uint64_t Lag) const {
    return States[States.size() - 1 - std::min(Lag, States.size() - 1)];
  }

  void write(Random &Source) {
    const OracleState &Current = States.back();
    const DocumentName *Due = dueForRestate();
    const std::uint64_t Kind = Source.below(100);
    if (Due != nullptr)
      writeRestate(*Due, Source.below(RetentionThird / 4));
    else if (Kind < 45)
      writeChange(Source);
    else if (Kind < 60 && !Changes.empty())
      append(ChangeRecord(Changes[Source.below(Changes.size())]));
    else if (Kind < 70 || Current.empty())
      appendIgnoredRecord(Source);
    else
      writeRestate(
          std::next(Current.begin(), Source.below(Current.size()))->first,
          Source.below(Kind < 80 ? 100 : 10));
  }

  /// Appends a change by an operator who has read up to an earlier offset.
  void writeChange(Random &Source) {
    const DocumentName Name = documentAt(Source.below(DocumentCount));
    const OracleState &Seen = stateWithLag(Source.below(6));
    const auto Found = Seen.find(Name);
    const std::string Id = "c" + std::to_string(Bodies.size());
    append({Name, Found != Seen.end() ? Found->second.Version : 0, Id, "op",
            R"({"id":")" + Id + "\"}"});
  }

  void append(const ChangeRecord &Change) {
    Changes.push_back(Change);
    OracleState State = States.back();
    ConfigurationDocument &Document = State[Change.Document];
    std::vector<std::string> &Ids = Document.ChangeIds;
    const bool Repeated =
        std::find(Ids.begin(), Ids.end(), Change.ChangeId) != Ids.end();
    if (!Repeated && Change.Base == Document.Version) {
      Document.Name = Change.Document;
      ++Document.Version;
      Document.Content = Change.Content;
      Ids.push_back(Change.ChangeId);
      if (Ids.size() > MaxChangeIds)
        Ids.erase(Ids.begin());
    } else if (Document.Version == 0) {
      State.erase(Change.Document);
    }
    Bodies.push_back(formatRecord(Change));
    States.push_back(std::move(State));
  }

  void appendIgnoredRecord(Random &Source) {
    constexpr std::array<std::string_view, 4> Junk = {
        "", R"({"type":"change","document":"service/s1"})",
        R"({"type":"other"})", R"({"type":"restate","version":9)"};
    Bodies.emplace_back(Junk[Source.below(Junk.size())]);
    States.push_back(States.back());
  }

  /// Appends a restate by a node that has read up to an earlier offset, with
  /// the state at that offset.
  void writeRestate(DocumentName Name, std::uint64_t Lag) {
    const std::uint64_t EndOffset = Bodies.size();
    const std::uint64_t AsOf = EndOffset - std::min(Lag, EndOffset);
    const OracleState &State = States[AsOf];
    const auto Found = State.find(Name);
    if (Found == State.end())
      return writeRestate(std::move(Name), 0);
    const ConfigurationDocument &Document = Found->second;
    Bodies.push_back(
        formatRecord(RestateRecord{Name, Document.Version, Document.ChangeIds,
                                   Document.Content, AsOf, State.size()}));
    States.push_back(States.back());
    std::uint64_t &Last = LastAsOf[Name];
    Last = std::max(Last, AsOf);
  }

  /// \returns a document that must be restated now, so that a fold from any
  /// offset is resolved after one retention.
  const DocumentName *dueForRestate() const {
    for (const auto &Entry : States.back()) {
      const auto Found = LastAsOf.find(Entry.first);
      const std::uint64_t Last =
          Found != LastAsOf.end() ? Found->second : firstSeen(Entry.first);
      if (Bodies.size() >= Last + RetentionThird / 2)
        return &Entry.first;
    }
    return nullptr;
  }

  std::uint64_t firstSeen(const DocumentName &Name) const {
    for (std::uint64_t Offset = 0; Offset < States.size(); ++Offset)
      if (States[Offset].contains(Name))
        return Offset;
    return 0;
  }

  std::vector<ChangeRecord> Changes;
  std::map<DocumentName, std::uint64_t> LastAsOf;
};

/// Checks every document that \p Fold knows against the oracle.
void checkAgainstOracle(const ConfigurationFold &Fold,
                        const OracleState &Expected) {
  for (const DocumentName &Name : Fold.documentNames()) {
    const auto Found = Expected.find(Name);
    RC_ASSERT(Found != Expected.end());
    RC_ASSERT(*Fold.document(Name) == Found->second);
  }
  if (Fold.resolved())
    RC_ASSERT(Fold.documentNames().size() == Expected.size());
}

/// Folds the log from \p Start. With \p RestoreFromSnapshots the fold is
/// replaced at some offsets by one that is restored from its snapshot.
void checkFoldFrom(const History &Log, std::uint64_t Start,
                   bool RestoreFromSnapshots) {
  ConfigurationFold Fold(Start);
  for (std::uint64_t Offset = Start; Offset < Log.Bodies.size(); ++Offset) {
    Fold.apply(Offset, Log.Bodies[Offset]);
    checkAgainstOracle(Fold, Log.States[Offset + 1]);
    if (Offset == Start + Retention)
      Fold.noteRetainedLogRead();
    if (Offset >= Start + Retention)
      RC_ASSERT(Fold.resolved());
    if (RestoreFromSnapshots && Offset % 7 == 0 && Fold.resolved())
      Fold = ConfigurationFold::restore(Fold.snapshot().value()).value();
  }
  RC_ASSERT(Fold.contradictions() == 0U);
}

std::vector<std::uint32_t> arbitraryChoices() {
  return *rc::gen::container<std::vector<std::uint32_t>>(
      LogLength, rc::gen::arbitrary<std::uint32_t>());
}

/// \class NaiveFold
/// \brief The baseline: adopts any restate of a higher version and folds
/// changes without regard to AsOf.
class NaiveFold {
public:
  void apply(std::string_view Body) {
    const std::optional<ConfigurationRecord> Record =
        parseConfigurationRecord(Body);
    if (!Record)
      return;
    if (const auto *Change = std::get_if<ChangeRecord>(&*Record)) {
      ConfigurationDocument &Document = State[Change->Document];
      if (Change->Base != Document.Version)
        return;
      ++Document.Version;
      Document.Content = Change->Content;
    } else if (const auto *Restate = std::get_if<RestateRecord>(&*Record)) {
      ConfigurationDocument &Document = State[Restate->Document];
      if (Restate->Version <= Document.Version)
        return;
      Document.Version = Restate->Version;
      Document.Content = Restate->Content;
    }
  }

  bool agreesWith(const OracleState &Expected) const {
    for (const auto &Entry : Expected) {
      const auto Found = State.find(Entry.first);
      if (Found != State.end() && Found->second.Version > 0 &&
          Found->second.Content != Entry.second.Content)
        return false;
    }
    return true;
  }

private:
  OracleState State;
};

} // namespace

Test(FoldConvergence, foldsFromEveryOffsetConvergeToTheOracle) {
  cr_assert(rc::check("folds that start late agree", [] {
    const History Log(arbitraryChoices());
    for (std::uint64_t Start = 0; Start < Log.Bodies.size(); ++Start)
      checkFoldFrom(Log, Start, Start % 2 == 0);
  }));
}

// A fold that misses records in the middle keeps its documents in force, never
// reverts a version, and converges again after one retention.
Test(FoldConvergence, foldsConvergeAfterAGapInTheLog) {
  cr_assert(rc::check("folds with a gap agree again", [] {
    const History Log(arbitraryChoices());
    const std::uint64_t Gap = *rc::gen::inRange(1, 60);
    ConfigurationFold Fold;
    std::map<DocumentName, std::uint64_t> Versions;
    for (std::uint64_t Offset = 0; Offset < Log.Bodies.size(); ++Offset) {
      if (Offset == 10) {
        Offset += Gap;
        Fold.skipTo(Offset);
      }
      Fold.apply(Offset, Log.Bodies[Offset]);
      for (const DocumentName &Name : Fold.documentNames()) {
        const std::uint64_t Version = Fold.document(Name)->Version;
        RC_ASSERT(Version >= Versions[Name]);
        Versions[Name] = Version;
      }
    }
    Fold.noteRetainedLogRead();
    RC_ASSERT(Fold.resolved());
    checkAgainstOracle(Fold, Log.States.back());
  }));
}

// The baseline shows that the histories contain the cases that the rules of
// AsOf guard against.
Test(FoldConvergence, naiveFoldsDiverge) {
  std::size_t FoldCount = 0;
  std::size_t DivergedCount = 0;
  for (std::uint32_t Seed = 1; Seed <= 20; ++Seed) {
    SeededRandom Source(Seed);
    std::vector<std::uint32_t> Choices(LogLength);
    for (std::uint32_t &Choice : Choices)
      Choice = static_cast<std::uint32_t>(Source.next());
    const History Log(Choices);
    for (std::uint64_t Start = 0; Start < Log.Bodies.size(); ++Start) {
      NaiveFold Fold;
      bool Agrees = true;
      for (std::uint64_t Offset = Start; Offset < Log.Bodies.size(); ++Offset) {
        Fold.apply(Log.Bodies[Offset]);
        Agrees = Agrees && Fold.agreesWith(Log.States[Offset + 1]);
      }
      ++FoldCount;
      DivergedCount += Agrees ? 0 : 1;
    }
  }
  std::cout << "naive folds that diverged at some offset: " << DivergedCount
            << " of " << FoldCount << "\n";
  cr_assert_gt(DivergedCount, 0U);
}
