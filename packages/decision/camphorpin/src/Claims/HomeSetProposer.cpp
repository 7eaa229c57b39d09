#include "camphorpin/src/Claims/HomeSetProposer.h"

#include <algorithm>

namespace camphorpin {

namespace {

const HomeMember *findMember(std::span<const HomeMember> Members,
                             const ProcessId &Process) {
  const auto Found = std::find_if(Members.begin(), Members.end(),
                                  [&Process](const HomeMember &Member) {
                                    return Member.Process == Process;
                                  });
  return Found != Members.end() ? &*Found : nullptr;
}

bool hasAddress(std::span<const HomeCandidate> Candidates,
                const HostAddress &Address) {
  return std::any_of(Candidates.begin(), Candidates.end(),
                     [&Address](const HomeCandidate &Candidate) {
                       return Candidate.Process.Address == Address;
                     });
}

} // namespace

void HomeSetProposer::onHomeSet(const HomeSet &NewSet, Instant Now) {
  if (NewSet.epoch() <= Set.epoch())
    return;
  const bool IsFirst = Set.epoch() == 0;
  const bool IsFrequent = !IsFirst && Now - ChangedAt < ChangeInterval * 2;
  ChangeInterval = IsFrequent
                       ? std::min(Options.MaxChangeInterval, ChangeInterval * 2)
                       : Options.MinChangeInterval;
  Set = NewSet;
  ChangedAt = Now;
  DifferentSince.reset();
  ProposedAt.reset();
  std::map<ProcessId, FormerHomeObservation> StillListed;
  for (const HomeAssignment &Former : Set.formerHomes()) {
    const auto Known = ObservedFormerHomes.find(Former.Process);
    // Until differs if the process has been a home again in the meantime.
    const bool IsKnown = Known != ObservedFormerHomes.end() &&
                         Known->second.Until == Former.Until;
    StillListed[Former.Process] =
        IsKnown ? Known->second
                : FormerHomeObservation{Former.Until, Now, std::nullopt};
  }
  ObservedFormerHomes = std::move(StillListed);
}

void HomeSetProposer::onMembers(std::span<const HomeMember> NewMembers) {
  Members.assign(NewMembers.begin(), NewMembers.end());
}

void HomeSetProposer::tick(Instant Now) {
  for (auto &[Process, Former] : ObservedFormerHomes)
    if (!Former.EndDetectedAt && ExitDetector.hasEnded(Process))
      Former.EndDetectedAt = Now;
  const std::vector<HomeCandidate> Desired = desiredHomes();
  if (!differsFromCurrent(Desired)) {
    DifferentSince.reset();
    return;
  }
  if (!DifferentSince)
    DifferentSince = Now;
  const bool Urgent = isLeavingHome();
  const Instant ProposeAt =
      *DifferentSince + (Urgent ? Options.LeaveCoalesceInterval
                                : Options.CoalesceInterval + proposalDelay());
  const Instant Earliest =
      Set.epoch() == 0
          ? ProposeAt
          : ChangedAt + (Urgent ? Options.MinChangeInterval : ChangeInterval);
  const bool IsPending =
      ProposedAt && Now - *ProposedAt < Options.ProposalRetryInterval;
  if (Now < std::max(ProposeAt, Earliest) || IsPending)
    return;
  ProposedAt = Now;
  const HomeSet Next =
      Set.withoutFormerHomesBefore(firstFormerEpochToKeep(Now)).next(Desired);
  // All readers would reject a longer list. The change is delayed until former
  // homes can be dropped.
  if (Next.formerHomes().size() <= MaxHomes)
    Actions.proposeHomes(Next);
}

std::vector<HomeCandidate> HomeSetProposer::desiredHomes() const {
  std::vector<HomeCandidate> Result;
  for (const HomeAssignment &Home : Set.homes()) {
    const HomeMember *Member = findMember(Members, Home.Process);
    const bool Stays =
        Member == nullptr || Member->State == HomeMemberState::Alive;
    if (Stays && !ExitDetector.hasEnded(Home.Process))
      Result.push_back({Home.Process, Home.Zone});
  }
  for (const HomeMember &Member : Members) {
    if (Member.State != HomeMemberState::Alive ||
        ExitDetector.hasEnded(Member.Process) ||
        hasAddress(Result, Member.Process.Address) || Result.size() >= MaxHomes)
      continue;
    Result.push_back({Member.Process, Member.Zone});
  }
  return Result;
}

bool HomeSetProposer::differsFromCurrent(
    std::span<const HomeCandidate> Desired) const {
  if (Desired.size() != Set.homes().size())
    return true;
  return std::any_of(Desired.begin(), Desired.end(),
                     [this](const HomeCandidate &Candidate) {
                       return Set.find(Candidate.Process) == nullptr;
                     });
}

Epoch HomeSetProposer::firstFormerEpochToKeep(Instant Now) const {
  // This long after the process can no longer start a key, all keys that it ran
  // are too old to be accepted.
  const Duration ForgetAfter = Claims.tableRetention() + MaxClockSkew;
  Epoch FirstKept = 0;
  for (const HomeAssignment &Former : Set.formerHomes()) {
    const auto Known = ObservedFormerHomes.find(Former.Process);
    // Only the newest former assignment of a process is observed. An earlier
    // one stays listed.
    const bool IsObserved = Known != ObservedFormerHomes.end() &&
                            Known->second.Until == Former.Until;
    const bool ExpiredSinceEnd =
        IsObserved && Known->second.EndDetectedAt &&
        Now - *Known->second.EndDetectedAt >= ForgetAfter;
    const bool ExpiredSinceTakeover =
        IsObserved &&
        Now - Known->second.FirstReadAt >= Claims.takeoverWait() + ForgetAfter;
    if (!ExpiredSinceEnd && !ExpiredSinceTakeover)
      return Former.Until;
    FirstKept = Former.Until + 1;
  }
  return FirstKept;
}

Duration HomeSetProposer::proposalDelay() const {
  const std::uint64_t OwnHash = stableHash(Self.stableHash(), Set.epoch());
  const auto Preceding = std::count_if(
      Members.begin(), Members.end(),
      [this, OwnHash](const HomeMember &Member) {
        return Member.State == HomeMemberState::Alive &&
               Member.Process != Self &&
               stableHash(Member.Process.stableHash(), Set.epoch()) < OwnHash;
      });
  return Options.StaggerDelay * static_cast<double>(Preceding);
}

bool HomeSetProposer::isLeavingHome() const {
  const HomeMember *Member = findMember(Members, Self);
  return Member != nullptr && Member->State == HomeMemberState::Leaving &&
         Set.find(Self) != nullptr;
}

} // namespace camphorpin
