#include "camphorpin/src/Claims/HomeSet.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace camphorpin {

namespace {

/// The address that the document lists if a home has no mirror.
constexpr const char *NoMirror = "";

/// \returns the rendezvous hashing weight of a process for a key; the home with
/// the highest weight owns the key. The finalizer of MurmurHash3 is sufficient
/// because both inputs are good hashes, and it is cheap: handing over a table
/// computes one weight per key and home.
std::uint64_t weight(std::uint64_t ProcessHash, std::uint64_t KeyHash) {
  std::uint64_t Hash = ProcessHash ^ KeyHash;
  Hash = (Hash ^ (Hash >> 33U)) * 0xFF51AFD7ED558CCDULL;
  Hash = (Hash ^ (Hash >> 33U)) * 0xC4CEB9FE1A85EC53ULL;
  return Hash ^ (Hash >> 33U);
}

nlohmann::json processToJson(const ProcessId &Process) {
  return {{"address", Process.Address.toString()},
          {"incarnation", Process.Incarnation}};
}

nlohmann::json assignmentToJson(const HomeAssignment &Assignment) {
  nlohmann::json Result = processToJson(Assignment.Process);
  Result["zone"] = Assignment.Zone.string();
  Result["since"] = Assignment.Since;
  if (Assignment.Until != 0)
    Result["until"] = Assignment.Until;
  nlohmann::json &Mirrors = Result["mirrors"] = nlohmann::json::array();
  for (const MirrorLink &Link : Assignment.Mirrors) {
    nlohmann::json Entry = nlohmann::json::object();
    if (Link.Mirror)
      Entry = processToJson(*Link.Mirror);
    else
      Entry["address"] = NoMirror;
    Entry["since"] = Link.Since;
    Mirrors.push_back(std::move(Entry));
  }
  return Result;
}

// The read functions throw on malformed input; HomeSet::parse() catches.

/// Rejects negative numbers, which would wrap around to an epoch that has no
/// successor.
std::uint64_t readNumber(const nlohmann::json &Json, const char *Name) {
  const nlohmann::json &Number = Json.at(Name);
  if (!Number.is_number_unsigned())
    throw std::invalid_argument(Name);
  return Number.get<std::uint64_t>();
}

ProcessId readProcess(const nlohmann::json &Json) {
  const std::optional<HostAddress> Address =
      HostAddress::parse(Json.at("address").get<std::string>());
  return {Address.value(), readNumber(Json, "incarnation")};
}

MirrorLink readLink(const nlohmann::json &Json) {
  MirrorLink Link;
  Link.Since = readNumber(Json, "since");
  if (Json.at("address").get<std::string>() != NoMirror)
    Link.Mirror = readProcess(Json);
  return Link;
}

HomeAssignment readAssignment(const nlohmann::json &Json, bool IsFormer) {
  HomeAssignment Assignment;
  Assignment.Process = readProcess(Json);
  Assignment.Zone = ZoneName(Json.at("zone").get<std::string>());
  Assignment.Since = readNumber(Json, "since");
  if (IsFormer)
    Assignment.Until = readNumber(Json, "until");
  for (const nlohmann::json &Link : Json.at("mirrors"))
    Assignment.Mirrors.push_back(readLink(Link));
  return Assignment;
}

bool isValid(const HomeAssignment &Assignment, Epoch EpochNumber,
             bool IsFormer) {
  if (!isValidName(Assignment.Zone.view()) || Assignment.Since == 0 ||
      Assignment.Since > EpochNumber || Assignment.Mirrors.empty() ||
      Assignment.Mirrors.size() > MaxMirrorLinks)
    return false;
  if (IsFormer &&
      (Assignment.Until < Assignment.Since || Assignment.Until >= EpochNumber))
    return false;
  for (std::size_t Index = 1; Index < Assignment.Mirrors.size(); ++Index)
    if (Assignment.Mirrors[Index].Since >= Assignment.Mirrors[Index - 1].Since)
      return false;
  return Assignment.Mirrors.back().Since >= Assignment.Since &&
         Assignment.Mirrors.front().Since <= EpochNumber;
}

bool areValid(std::span<const HomeAssignment> Assignments, Epoch EpochNumber,
              bool IsFormer) {
  return Assignments.size() <= MaxHomes &&
         std::all_of(Assignments.begin(), Assignments.end(),
                     [EpochNumber, IsFormer](const HomeAssignment &Assignment) {
                       return isValid(Assignment, EpochNumber, IsFormer);
                     });
}

/// \returns true unless the processes are in strictly ascending order.
bool hasUnsortedOrRepeatedProcess(std::span<const HomeAssignment> Homes) {
  for (std::size_t Index = 1; Index < Homes.size(); ++Index)
    if (Homes[Index].Process <= Homes[Index - 1].Process)
      return true;
  return false;
}

/// \returns the suitability of \p Candidate as the mirror of \p Home: 2 in
/// another zone, 1 in the same zone, 0 on the same host, where it is unusable.
int mirrorQuality(const HomeAssignment &Home, const HomeAssignment &Candidate) {
  if (Candidate.Process.Address.Ip == Home.Process.Address.Ip)
    return 0;
  return Candidate.Zone == Home.Zone ? 1 : 2;
}

/// Selects the home with the highest rendezvous hashing weight for a key.
class RendezvousSelector {
public:
  RendezvousSelector(std::uint64_t KeyHash, Epoch AtEpoch)
      : KeyHash(KeyHash), AtEpoch(AtEpoch) {}

  void consider(std::span<const HomeAssignment> Assignments,
                std::span<const std::uint64_t> Hashes) {
    for (std::size_t Index = 0; Index < Assignments.size(); ++Index) {
      if (!Assignments[Index].covers(AtEpoch))
        continue;
      const std::uint64_t Weight = weight(Hashes[Index], KeyHash);
      if (Best != nullptr && Weight <= BestWeight)
        continue;
      Best = &Assignments[Index];
      BestWeight = Weight;
    }
  }

  const HomeAssignment *best() const { return Best; }

private:
  std::uint64_t KeyHash;
  Epoch AtEpoch;
  const HomeAssignment *Best = nullptr;
  std::uint64_t BestWeight = 0;
};

} // namespace

std::optional<HomeSet> HomeSet::parse(std::string_view Json) {
  const nlohmann::json Root = nlohmann::json::parse(Json, nullptr, false);
  if (!Root.is_object())
    return std::nullopt;
  HomeSet Set;
  try {
    Set.EpochNumber = readNumber(Root, "epoch");
    Set.Horizon = readNumber(Root, "horizon");
    for (const nlohmann::json &Home : Root.at("homes"))
      Set.Homes.push_back(readAssignment(Home, false));
    for (const nlohmann::json &Former : Root.at("formers"))
      Set.FormerHomes.push_back(readAssignment(Former, true));
  } catch (const std::exception &) {
    return std::nullopt;
  }
  if (!areValid(Set.Homes, Set.EpochNumber, false) ||
      !areValid(Set.FormerHomes, Set.EpochNumber, true) ||
      hasUnsortedOrRepeatedProcess(Set.Homes) || Set.Horizon == 0)
    return std::nullopt;
  Set.hashProcesses();
  return Set;
}

std::string HomeSet::toJson() const {
  nlohmann::json Root;
  Root["epoch"] = EpochNumber;
  Root["horizon"] = Horizon;
  Root["homes"] = nlohmann::json::array();
  for (const HomeAssignment &Home : Homes)
    Root["homes"].push_back(assignmentToJson(Home));
  Root["formers"] = nlohmann::json::array();
  for (const HomeAssignment &Former : FormerHomes)
    Root["formers"].push_back(assignmentToJson(Former));
  return Root.dump();
}

const HomeAssignment *HomeSet::homeOf(const RequestKey &Key) const {
  RendezvousSelector Search(Key.stableHash(), EpochNumber);
  Search.consider(Homes, HomeHashes);
  return Search.best();
}

const HomeAssignment *HomeSet::homeAt(camphorpin::Epoch Past,
                                      const RequestKey &Key) const {
  assert(Past >= Horizon && Past <= EpochNumber &&
         "epoch outside of the known range");
  RendezvousSelector Search(Key.stableHash(), Past);
  Search.consider(Homes, HomeHashes);
  Search.consider(FormerHomes, FormerHomeHashes);
  return Search.best();
}

const HomeAssignment *HomeSet::find(const ProcessId &Process) const {
  const auto Found = std::find_if(Homes.begin(), Homes.end(),
                                  [&Process](const HomeAssignment &Home) {
                                    return Home.Process == Process;
                                  });
  return Found != Homes.end() ? &*Found : nullptr;
}

MirrorHistory HomeSet::mirrorHistory(const ProcessId &Process) const {
  MirrorHistory Result;
  std::vector<const HomeAssignment *> Assignments;
  for (const HomeAssignment &Former : FormerHomes)
    if (Former.Process == Process)
      Assignments.push_back(&Former);
  if (const HomeAssignment *Home = find(Process))
    Assignments.push_back(Home);
  std::sort(Assignments.begin(), Assignments.end(),
            [](const HomeAssignment *Left, const HomeAssignment *Right) {
              return Left->Since > Right->Since;
            });
  Result.Complete = true;
  for (const HomeAssignment *Assignment : Assignments) {
    Result.Links.insert(Result.Links.end(), Assignment->Mirrors.begin(),
                        Assignment->Mirrors.end());
    if (Assignment->Mirrors.back().Since == Assignment->Since)
      continue;
    Result.Complete = false;
    break;
  }
  return Result;
}

HomeSet HomeSet::next(std::span<const HomeCandidate> Desired) const {
  assert(Desired.size() <= MaxHomes && "too many homes");
  HomeSet Result;
  Result.EpochNumber = EpochNumber + 1;
  Result.Horizon = Horizon;
  Result.FormerHomes = FormerHomes;
  std::map<ProcessId, ZoneName> Missing;
  for (const HomeCandidate &Candidate : Desired)
    Missing.emplace(Candidate.Process, Candidate.Zone);
  assert(Missing.size() == Desired.size() && "duplicate process");
  for (const HomeAssignment &Home : Homes) {
    const bool Stays = Missing.erase(Home.Process) > 0;
    (Stays ? Result.Homes : Result.FormerHomes).push_back(Home);
    if (!Stays)
      Result.FormerHomes.back().Until = EpochNumber;
  }
  for (const auto &[Process, Zone] : Missing) {
    HomeAssignment Added;
    Added.Process = Process;
    Added.Zone = Zone;
    Added.Since = Result.EpochNumber;
    Result.Homes.push_back(std::move(Added));
  }
  std::sort(Result.Homes.begin(), Result.Homes.end(),
            [](const HomeAssignment &Left, const HomeAssignment &Right) {
              return Left.Process < Right.Process;
            });
  Result.chooseMirrors();
  Result.hashProcesses();
  return Result;
}

HomeSet HomeSet::withoutFormerHomesBefore(camphorpin::Epoch FirstKept) const {
  HomeSet Result = *this;
  std::erase_if(Result.FormerHomes,
                [FirstKept, &Result](const HomeAssignment &Former) {
                  if (Former.Until >= FirstKept)
                    return false;
                  Result.Horizon = std::max(Result.Horizon, Former.Until + 1);
                  return true;
                });
  Result.hashProcesses();
  return Result;
}

void HomeSet::hashProcesses() {
  HomeHashes.clear();
  FormerHomeHashes.clear();
  for (const HomeAssignment &Home : Homes)
    HomeHashes.push_back(Home.Process.stableHash());
  for (const HomeAssignment &Former : FormerHomes)
    FormerHomeHashes.push_back(Former.Process.stableHash());
}

void HomeSet::chooseMirrors() {
  std::map<ProcessId, std::size_t> Load;
  std::vector<HomeAssignment *> HomesToReassign;
  for (HomeAssignment &Home : Homes) {
    int BestQuality = 0;
    int CurrentQuality = 0;
    const std::optional<ProcessId> Mirror =
        Home.Mirrors.empty() ? std::nullopt : Home.Mirrors.front().Mirror;
    for (const HomeAssignment &Candidate : Homes) {
      BestQuality = std::max(BestQuality, mirrorQuality(Home, Candidate));
      if (Mirror == Candidate.Process)
        CurrentQuality = mirrorQuality(Home, Candidate);
    }
    const bool KeepsMirror = CurrentQuality == BestQuality &&
                             !Home.Mirrors.empty() &&
                             (BestQuality > 0 || !Mirror.has_value());
    if (!KeepsMirror)
      HomesToReassign.push_back(&Home);
    else if (Mirror)
      ++Load[*Mirror];
  }
  for (HomeAssignment *Home : HomesToReassign) {
    const HomeAssignment *Chosen = nullptr;
    for (const HomeAssignment &Candidate : Homes) {
      const int Quality = mirrorQuality(*Home, Candidate);
      if (Quality == 0)
        continue;
      const int ChosenQuality = Chosen ? mirrorQuality(*Home, *Chosen) : 0;
      const bool Better = Quality > ChosenQuality ||
                          (Quality == ChosenQuality &&
                           Load[Candidate.Process] < Load[Chosen->Process]);
      if (Better)
        Chosen = &Candidate;
    }
    MirrorLink Link;
    Link.Since = EpochNumber;
    if (Chosen) {
      Link.Mirror = Chosen->Process;
      ++Load[Chosen->Process];
    }
    Home->Mirrors.insert(Home->Mirrors.begin(), Link);
    if (Home->Mirrors.size() > MaxMirrorLinks)
      Home->Mirrors.pop_back();
  }
}

} // namespace camphorpin
