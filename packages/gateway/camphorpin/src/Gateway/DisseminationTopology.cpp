#include "camphorpin/src/Gateway/DisseminationTopology.h"

#include <algorithm>
#include <array>
#include <utility>

namespace camphorpin {

namespace {

/// Maximum number of followers per node. At two polls a second they cost much
/// less than the calls that the node handles.
constexpr std::size_t FollowersPerNode = 16;
/// Nodes of a zone that may take over for stopped readers.
constexpr std::size_t MaxCandidatesPerZone = 16;
/// Validity of an answer of a followed node. Polls are 0.5 s apart, so one may
/// be lost, and a change is still applied within the two seconds that the
/// platform allows.
constexpr Duration AnswerValidity = Duration::millis(1100);
/// Time after the start in which nodes that started together discover each
/// other, before any of them reads the store for the others.
constexpr Duration DiscoveryPeriod = Duration::millis(700);
/// When the followed nodes answer but can't reach the store either, the read is
/// delayed in proportion to the position in the order, so that not all nodes
/// call the store at once during an outage.
constexpr Duration DelayPerPosition = Duration::millis(50);
constexpr Duration MaxReadDelay = Duration::seconds(2);

} // namespace

DisseminationTopology::DisseminationTopology(std::string Self, std::string Zone,
                                             Instant Started)
    : Self(std::move(Self)), Zone(std::move(Zone)), Started(Started),
      LastAnswer(Started), LastCurrentAnswer(Started + DiscoveryPeriod) {}

void DisseminationTopology::orderNodes(const NodeDirectory &Directory) {
  std::map<std::string_view, std::vector<std::pair<std::uint64_t, std::string>>>
      Zones;
  for (const auto &[Node, Record] : Directory.all())
    if (!Record.Departed)
      Zones[Record.Zone].emplace_back(stableHash(Node), Node);
  Candidates.clear();
  Predecessors.clear();
  for (auto &[Name, Nodes] : Zones) {
    std::sort(Nodes.begin(), Nodes.end());
    std::vector<std::string> &First = Candidates.emplace_back();
    for (const auto &[Hash, Node] : Nodes) {
      if (First.size() == MaxCandidatesPerZone)
        break;
      First.push_back(Node);
    }
    if (Name != Zone)
      continue;
    for (auto &[Hash, Node] : Nodes) {
      if (Node == Self)
        break;
      Predecessors.push_back(std::move(Node));
    }
  }
}

void DisseminationTopology::chooseReaders(
    const std::function<bool(const std::string &)> &Reachable) {
  std::array<std::vector<std::string>, ReadersPerZone> Ranks;
  for (const std::vector<std::string> &Zone : Candidates) {
    std::size_t Rank = 0;
    for (const std::string &Node : Zone) {
      if (Rank == ReadersPerZone)
        break;
      if (Node == Self || Reachable(Node))
        Ranks[Rank++].push_back(Node);
    }
  }
  // The reads of the readers end one after the other. Those of a zone are not
  // neighbours, so that the loss of a zone leaves no long gap.
  Readers.clear();
  for (const std::vector<std::string> &Rank : Ranks)
    Readers.insert(Readers.end(), Rank.begin(), Rank.end());
}

void DisseminationTopology::update(
    const NodeDirectory &Directory,
    const std::function<bool(const std::string &)> &Reachable) {
  if (Directory.digest() != OrderedDigest) {
    OrderedDigest = Directory.digest();
    orderNodes(Directory);
  }
  chooseReaders(Reachable);
  std::vector<std::string> ReachableNodes;
  std::copy_if(Predecessors.begin(), Predecessors.end(),
               std::back_inserter(ReachableNodes), Reachable);
  Position = ReachableNodes.size();
  Followed.clear();
  if (Position < ReadersPerZone)
    return;
  const std::size_t First = Position / FollowersPerNode;
  const std::size_t Second = First ^ 1U;
  Followed = {ReachableNodes[First], ReachableNodes[Second]};
}

void DisseminationTopology::onAnswer(std::string_view Node, bool Current,
                                     Instant Now) {
  if (std::find(Followed.begin(), Followed.end(), Node) == Followed.end())
    return;
  LastAnswer = Now;
  if (Current)
    LastCurrentAnswer = Now;
}

bool DisseminationTopology::followsCurrentNode(Instant Now) const {
  return !Followed.empty() && Now - LastCurrentAnswer < AnswerValidity;
}

Instant DisseminationTopology::storeReadDue(Instant Now) const {
  if (Followed.empty())
    return Started + DiscoveryPeriod;
  const bool Answered = Now - LastAnswer < AnswerValidity;
  const Duration ReadDelay =
      Answered ? DelayPerPosition * static_cast<double>(Position) : Duration();
  return LastCurrentAnswer + AnswerValidity + std::min(MaxReadDelay, ReadDelay);
}

} // namespace camphorpin
