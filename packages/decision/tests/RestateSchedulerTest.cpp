// Guards against documents that expire from the log because no node restates
// them, although none is in charge, and against a burst of appends, although
// all nodes may write.
#include "camphorpin/Configuration.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <iostream>
#include <memory>

using namespace camphorpin;

namespace {

constexpr Duration Retention = Duration::seconds(6 * 3600);
/// Configuration is in force everywhere within 14 s, so a node may learn of a
/// restate that late.
constexpr std::uint64_t MaxPropagationSeconds = 14;
constexpr std::size_t Documents = 4;

DocumentName documentAt(std::size_t Index) {
  return DocumentName("service/s" + std::to_string(Index));
}

/// \class Fleet
/// \brief The schedulers of many nodes on one log. Each node learns of a
/// restate after its own delay.
class Fleet {
public:
  explicit Fleet(std::size_t Size) {
    for (std::size_t Index = 0; Index < Size; ++Index) {
      Nodes.push_back(std::make_unique<RestateScheduler>(Retention, Source));
      Delays.push_back(1 + Source.below(MaxPropagationSeconds));
      for (std::size_t Document = 0; Document < Documents; ++Document)
        Nodes.back()->noteDocument(documentAt(Document), Instant());
    }
  }

  /// Runs one virtual second.
  void step(bool LogAvailable) {
    ++Second;
    const Instant Now = Instant::fromMillis(Second * 1000);
    for (const Notification &Item : Pending)
      for (std::size_t Index = 0; Index < Nodes.size(); ++Index)
        if (Item.Second + Delays[Index] == Second)
          Nodes[Index]->noteRestated(documentAt(Item.Document), Now);
    std::erase_if(Pending, [this](const Notification &Item) {
      return Item.Second + MaxPropagationSeconds < Second;
    });
    for (const std::unique_ptr<RestateScheduler> &Node : Nodes) {
      const std::optional<DocumentName> Due = Node->takeDue(Now, LogAvailable);
      if (Due)
        append(*Due);
    }
  }

  std::size_t Appends = 0;
  /// Restates of a document that was restated within twice the propagation time
  /// before.
  std::size_t Redundant = 0;
  std::uint64_t LongestGap = 0;
  std::size_t MostInOneSecond = 0;
  std::uint64_t Second = 0;

private:
  struct Notification {
    std::size_t Document;
    std::uint64_t Second;
  };

  void append(const DocumentName &Name) {
    const std::size_t Document = std::stoul(Name.string().substr(9));
    ++Appends;
    std::uint64_t &Last = LastRestate[Document];
    const std::uint64_t Gap = Second - Last;
    Redundant += Gap <= 2 * MaxPropagationSeconds && Last > 0 ? 1 : 0;
    LongestGap = std::max(LongestGap, Gap);
    Last = Second;
    Pending.push_back({Document, Second});
    InThisSecond = LastAppend == Second ? InThisSecond + 1 : 1;
    LastAppend = Second;
    MostInOneSecond = std::max(MostInOneSecond, InThisSecond);
  }

  SeededRandom Source{11};
  std::vector<std::unique_ptr<RestateScheduler>> Nodes;
  std::vector<std::uint64_t> Delays;
  std::vector<Notification> Pending;
  std::array<std::uint64_t, Documents> LastRestate{};
  std::uint64_t LastAppend = 0;
  std::size_t InThisSecond = 0;
};

constexpr std::uint64_t RetentionSeconds = Retention.wholeMillis() / 1000;

/// \returns how many of \p Nodes with uniformly distributed delays append a
/// restate before they learn of the first one; the baseline.
double redundantWithUniformDelay(std::size_t Nodes) {
  constexpr double WindowSeconds = RetentionSeconds / 12.0;
  constexpr int Rounds = 50;
  SeededRandom Source(3);
  double Redundant = 0;
  for (int Round = 0; Round < Rounds; ++Round) {
    std::vector<double> Times(Nodes);
    for (double &Time : Times)
      Time = Source.uniform01() * WindowSeconds;
    const double First = *std::min_element(Times.begin(), Times.end());
    for (double Time : Times)
      Redundant +=
          Time > First && Time < First + MaxPropagationSeconds / 2.0 ? 1 : 0;
  }
  return Redundant / Rounds;
}

} // namespace

Test(RestateScheduler, restatesInTimeWithFewDuplicatesAtTargetSize) {
  Fleet Nodes(7100);
  while (Nodes.Second < RetentionSeconds)
    Nodes.step(true);
  const double RedundantPerRestate =
      static_cast<double>(Nodes.Redundant) / (Nodes.Appends - Nodes.Redundant);
  std::cout << "7,100 nodes: " << Nodes.Appends << " appends, "
            << Nodes.Redundant << " redundant, longest gap " << Nodes.LongestGap
            << " s; uniform delays give " << redundantWithUniformDelay(7100)
            << " redundant for each restate\n";
  cr_assert_leq(Nodes.LongestGap, RetentionSeconds / 3);
  cr_assert_lt(RedundantPerRestate, 1.0);
}

// A single node must also restate in time, because it may be partitioned from
// the rest of the fleet.
Test(RestateScheduler, restatesInTimeWithFewNodes) {
  for (std::size_t Size : {1, 3, 50}) {
    Fleet Nodes(Size);
    while (Nodes.Second < 2 * RetentionSeconds)
      Nodes.step(true);
    cr_assert_leq(Nodes.LongestGap, RetentionSeconds / 3);
  }
}

// All documents become due during an outage. Unless the delays are drawn anew,
// all nodes append at once when the log is available again.
Test(RestateScheduler, doesNotFloodTheLogAfterAnOutage) {
  Fleet Nodes(1000);
  while (Nodes.Second < RetentionSeconds * 2)
    Nodes.step(Nodes.Second > RetentionSeconds);
  std::cout << "after an outage: " << Nodes.Appends << " appends, at most "
            << Nodes.MostInOneSecond << " in one second\n";
  cr_assert_leq(Nodes.MostInOneSecond, 20);
}

Test(RestateScheduler, newNodeAdoptsDocumentAges) {
  SeededRandom Source(5);
  RestateScheduler Old(Retention, Source);
  Old.noteRestated(documentAt(0), Instant());
  const Instant Now = Instant() + Retention / 4;
  RestateScheduler New(Retention, Source);
  const Instant Other = Instant::fromMillis(99);
  New.noteAges(Old.ages(Now), Other);
  // Without the age its timer would start anew, and more than a third of the
  // retention would pass between two restates.
  cr_assert(New.takeDue(Other, true) == documentAt(0));
}
