#include "camphorpin/src/Claims/PriorOwnerResolver.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace camphorpin {

namespace {

/// Maximum number of epochs whose read time is stored. Dropping one only
/// lengthens a takeover wait.
constexpr std::size_t MaxEpochReadTimes = 64;

/// How long only the prior owner itself is queried, in units of
/// ClaimOptions::ResendInterval. Its mirror is queried later, because this
/// fences the prior owner, which must then repeat its claims in flight.
constexpr int HomeQueryIntervals = 4;

bool contains(const std::vector<Epoch> &Values, Epoch Value) {
  return std::find(Values.begin(), Values.end(), Value) != Values.end();
}

template <class Visitor>
void forEachAssignment(const HomeSet &Set, const Visitor &Visit) {
  for (const HomeAssignment &Home : Set.homes())
    Visit(Home);
  for (const HomeAssignment &Former : Set.formerHomes())
    Visit(Former);
}

} // namespace

void PriorOwnerResolver::adopt(const HomeSet &NewSet, Instant Now) {
  assert(NewSet.epoch() > Set.epoch() && "home sets are adopted in order");
  Set = NewSet;
  // The entries received so far were selected with the homes of the previous
  // epoch, so the prior owners that still matter are queried again.
  PriorOwners.clear();
  EpochReadAt.emplace(Set.epoch(), Now);
  if (EpochReadAt.size() > MaxEpochReadTimes)
    EpochReadAt.erase(EpochReadAt.begin());
  std::erase_if(Fences, [this](const auto &Entry) {
    return Set.mirrorHistory(Entry.first).Links.empty();
  });
  updateSettled(Now);
}

bool PriorOwnerResolver::expects(const ResolvePage &Page) const {
  const auto Found = PriorOwners.find(Page.Home);
  if (Page.Epoch != Set.epoch() || Found == PriorOwners.end() ||
      Found->second.Resolved)
    return false;
  const PriorOwner &Owner = Found->second;
  const Query *Pending = &Owner.HomeQuery;
  if (Page.LinkSince != 0)
    Pending = Owner.MirrorQuery ? &*Owner.MirrorQuery : nullptr;
  return Pending != nullptr && Pending->Sent &&
         Pending->LinkSince == Page.LinkSince && Pending->After == Page.After;
}

void PriorOwnerResolver::accept(const ResolvePage &Page, Instant Now) {
  assert(expects(Page) && "the page answers a pending query");
  PriorOwner &Owner = PriorOwners.at(Page.Home);
  if (!Page.Complete) {
    Owner.MirrorQuery.reset();
    prepareNextMirrorQuery(Owner, Page.Home);
  } else {
    Query &Pending = Page.LinkSince == 0 ? Owner.HomeQuery : *Owner.MirrorQuery;
    // The metadata of a later page may cover keys that are missing from the
    // earlier pages. Therefore the metadata of the first page is used.
    if (!Pending.FirstPageKnowledge)
      Pending.FirstPageKnowledge = Page.Knowledge;
    if (Page.More && !Page.Entries.empty()) {
      Pending.After = Page.Entries.back().Key;
      sendQuery(Pending, Page.Home, Now);
    } else {
      resolve(Owner, Page.Home, ClaimKnowledge(*Pending.FirstPageKnowledge));
    }
  }
  updateSettled(Now);
}

void PriorOwnerResolver::tick(Instant Now, Instant WallNow) {
  for (auto &[Process, Owner] : PriorOwners)
    if (!Owner.Resolved)
      tickPriorOwner(Owner, Process, Now, WallNow);
  updateSettled(Now);
  // By then all keys that the cutoff covers are too old to run.
  const Duration Lifetime = Options.KeyRetention + MaxClockSkew * 3;
  const std::size_t Removed = std::erase_if(
      Knowledge.Cutoffs, [WallNow, Lifetime](const KeyCutoff &Cutoff) {
        return WallNow - Cutoff.Time > Lifetime;
      });
  if (Removed > 0)
    ++Revision;
}

KeyHistory PriorOwnerResolver::history(const RequestKey &Key) const {
  bool HistoryKnown = settled();
  bool Unresolved = false;
  for (Epoch PastEpoch = Set.epoch(); PastEpoch-- > Set.horizon();) {
    // Once the result is known, older owners are checked only for cutoffs.
    if ((HistoryKnown || Unresolved) && Knowledge.Cutoffs.empty())
      break;
    const HomeAssignment *Owner = Set.homeAt(PastEpoch, Key);
    if (Owner == nullptr)
      continue;
    if (Owner->Process == Self) {
      HistoryKnown = HistoryKnown || wasSettled(PastEpoch);
      continue;
    }
    if (isCutOff(Owner->Process, Key))
      return KeyHistory::MayHaveRun;
    if (HistoryKnown || Unresolved)
      continue;
    Unresolved = !isResolved(Owner->Process);
    HistoryKnown = !Unresolved && wasOwnerSettledAt(*Owner, PastEpoch);
  }
  if (!HistoryKnown && !Unresolved)
    forEachAssignment(
        Set, [this, &Unresolved](const HomeAssignment &Assignment) {
          if (Assignment.Since < Set.horizon() && Assignment.Process != Self &&
              !isResolved(Assignment.Process))
            Unresolved = true;
        });
  return Unresolved ? KeyHistory::Unresolved : KeyHistory::Clear;
}

bool PriorOwnerResolver::settled() const { return wasSettled(Set.epoch()); }

std::size_t PriorOwnerResolver::unresolvedCount() const {
  return static_cast<std::size_t>(
      std::count_if(PriorOwners.begin(), PriorOwners.end(),
                    [](const auto &Entry) { return !Entry.second.Resolved; }));
}

std::vector<ProcessId> PriorOwnerResolver::takeResolved() {
  return std::exchange(NewlyResolved, {});
}

bool PriorOwnerResolver::wasSettled(Epoch PastEpoch) const {
  return contains(Knowledge.Settled, PastEpoch);
}

bool PriorOwnerResolver::isResolved(const ProcessId &Process) const {
  const auto Found = PriorOwners.find(Process);
  return Found != PriorOwners.end() && Found->second.Resolved;
}

bool PriorOwnerResolver::wasHomeAt(Epoch PastEpoch) const {
  bool Result = false;
  forEachAssignment(
      Set, [this, PastEpoch, &Result](const HomeAssignment &Assignment) {
        if (Assignment.Process == Self && Assignment.covers(PastEpoch))
          Result = true;
      });
  return Result;
}

/// A process that has been a home together with this one ever since cannot have
/// owned any key that this process owns: as long as both are homes, the same
/// one has the higher weight for the key.
bool PriorOwnerResolver::mayBePriorOwner(const HomeAssignment &Assignment,
                                         Epoch PastEpoch) const {
  if (Assignment.Process == Self || !Assignment.covers(PastEpoch))
    return false;
  const HomeAssignment *Own = Set.find(Self);
  return Assignment.Until != 0 || Own == nullptr || Own->Since > PastEpoch;
}

bool PriorOwnerResolver::wasOwnerSettledAt(const HomeAssignment &Assignment,
                                           Epoch PastEpoch) const {
  const auto Found = PriorOwners.find(Assignment.Process);
  return Found != PriorOwners.end() && Found->second.Resolved &&
         !Found->second.TableLost && contains(Found->second.Settled, PastEpoch);
}

bool PriorOwnerResolver::startResolving(const ProcessId &Process, Instant Now) {
  const auto [Position, IsNew] = PriorOwners.try_emplace(Process);
  PriorOwner &Owner = Position->second;
  if (!IsNew)
    return Owner.Resolved;
  Owner.StartedAt = Now;
  Owner.HomeQuery.To = Process;
  const auto Fenced = Fences.find(Process);
  if (Fenced != Fences.end() &&
      Fenced->second.Below >= requiredFenceEpoch(Process)) {
    Owner.Resolved = true;
    Owner.TableLost = true;
    return true;
  }
  if (!ExitDetector.hasEnded(Process))
    sendQuery(Owner.HomeQuery, Process, Now);
  return Owner.Resolved;
}

bool PriorOwnerResolver::resolveOwnersAt(Epoch PastEpoch, Instant Now,
                                         bool &Unresolved) {
  const bool Owned = wasHomeAt(PastEpoch);
  bool Any = Owned;
  bool AllSettled = !Owned || wasSettled(PastEpoch);
  forEachAssignment(Set, [this, PastEpoch, Now, &Any, &AllSettled,
                          &Unresolved](const HomeAssignment &Assignment) {
    if (!mayBePriorOwner(Assignment, PastEpoch))
      return;
    Any = true;
    if (!startResolving(Assignment.Process, Now))
      Unresolved = true;
    if (!wasOwnerSettledAt(Assignment, PastEpoch))
      AllSettled = false;
  });
  return Any && AllSettled;
}

bool PriorOwnerResolver::resolveOwnersBeforeHorizon(Instant Now) {
  bool Result = true;
  forEachAssignment(
      Set, [this, Now, &Result](const HomeAssignment &Assignment) {
        if (Assignment.Since < Set.horizon() && Assignment.Process != Self &&
            !startResolving(Assignment.Process, Now))
          Result = false;
      });
  return Result;
}

void PriorOwnerResolver::updateSettled(Instant Now) {
  if (settled() || Set.find(Self) == nullptr)
    return;
  for (Epoch PastEpoch = Set.epoch(); PastEpoch-- > Set.horizon();) {
    bool Unresolved = false;
    if (resolveOwnersAt(PastEpoch, Now, Unresolved)) {
      markSettled();
      return;
    }
    if (Unresolved)
      return;
  }
  if (resolveOwnersBeforeHorizon(Now))
    markSettled();
}

void PriorOwnerResolver::markSettled() {
  Knowledge.Settled.insert(Knowledge.Settled.begin(), Set.epoch());
  if (Knowledge.Settled.size() > MaxSettledEpochs)
    Knowledge.Settled.pop_back();
  ++Revision;
}

void PriorOwnerResolver::sendQuery(Query &Pending, const ProcessId &Process,
                                   Instant Now) {
  Pending.Sent = true;
  Pending.SentAt = Now;
  Actions.sendClaim(Pending.To,
                    ResolveRequest{Self, Process, Set.epoch(),
                                   Pending.LinkSince, Pending.After});
}

void PriorOwnerResolver::prepareNextMirrorQuery(PriorOwner &Owner,
                                                const ProcessId &Process) {
  const MirrorHistory History = Set.mirrorHistory(Process);
  if (Owner.NextLink >= History.Links.size()) {
    // No mirror has a complete table of the process, and all mirrors now reject
    // its copies. A home runs a key only after its mirror has accepted the
    // copy, so the process has run no key and cannot run any.
    if (History.Complete)
      resolve(Owner, Process, ClaimKnowledge());
    else
      Owner.MirrorsFailed = true;
    return;
  }
  const MirrorLink &Link = History.Links[Owner.NextLink++];
  if (!Link.Mirror) {
    Owner.MirrorsFailed = true;
    return;
  }
  Query Pending;
  Pending.LinkSince = Link.Since;
  Pending.To = *Link.Mirror;
  Owner.MirrorQuery = Pending;
}

void PriorOwnerResolver::tickMirrors(PriorOwner &Owner,
                                     const ProcessId &Process, Instant Now) {
  if (Owner.MirrorsFailed)
    return;
  if (!Owner.MirrorQuery)
    prepareNextMirrorQuery(Owner, Process);
  if (!Owner.MirrorQuery)
    return;
  if (ExitDetector.hasEnded(Owner.MirrorQuery->To))
    Owner.MirrorsFailed = true;
  else if (!Owner.MirrorQuery->Sent ||
           Now - Owner.MirrorQuery->SentAt >= Options.ResendInterval)
    sendQuery(*Owner.MirrorQuery, Process, Now);
}

void PriorOwnerResolver::tickPriorOwner(PriorOwner &Owner,
                                        const ProcessId &Process, Instant Now,
                                        Instant WallNow) {
  const bool HasEnded = ExitDetector.hasEnded(Process);
  const Duration Waited = Now - Owner.StartedAt;
  if (!HasEnded && Now - Owner.HomeQuery.SentAt >= Options.ResendInterval)
    sendQuery(Owner.HomeQuery, Process, Now);
  if (HasEnded || Waited >= Options.ResendInterval * HomeQueryIntervals)
    tickMirrors(Owner, Process, Now);
  if (Owner.Resolved)
    return;
  const bool TableIsLost =
      Owner.MirrorsFailed || Waited >= Options.MirrorTimeout;
  const bool WaitIsOver =
      Now - firstReadAt(requiredFenceEpoch(Process)) >= Options.takeoverWait();
  if ((HasEnded && TableIsLost) || WaitIsOver)
    declareTableLost(Owner, Process, WallNow);
}

void PriorOwnerResolver::declareTableLost(PriorOwner &Owner,
                                          const ProcessId &Process,
                                          Instant WallNow) {
  Owner.Resolved = true;
  Owner.TableLost = true;
  Fences[Process] = Fence{WallNow, requiredFenceEpoch(Process)};
  ClaimKnowledge Added;
  Added.Cutoffs.push_back({Process, WallNow});
  mergeCutoffs(Added);
}

void PriorOwnerResolver::resolve(PriorOwner &Owner, const ProcessId &Process,
                                 const ClaimKnowledge &Received) {
  Owner.Resolved = true;
  Owner.Settled = Received.Settled;
  mergeCutoffs(Received);
  if (Set.find(Process) == nullptr && !ExitDetector.hasEnded(Process))
    NewlyResolved.push_back(Process);
}

void PriorOwnerResolver::mergeCutoffs(const ClaimKnowledge &Added) {
  for (const KeyCutoff &Cutoff : Added.Cutoffs) {
    const auto Found =
        std::find_if(Knowledge.Cutoffs.begin(), Knowledge.Cutoffs.end(),
                     [&Cutoff](const KeyCutoff &Present) {
                       return Present.Process == Cutoff.Process;
                     });
    if (Found != Knowledge.Cutoffs.end() && Found->Time >= Cutoff.Time)
      continue;
    if (Found == Knowledge.Cutoffs.end())
      Knowledge.Cutoffs.push_back(Cutoff);
    else
      Found->Time = Cutoff.Time;
    ++Revision;
  }
}

Epoch PriorOwnerResolver::requiredFenceEpoch(const ProcessId &Process) const {
  const HomeAssignment *Own = Set.find(Self);
  Epoch Result = 0;
  for (const HomeAssignment &Former : Set.formerHomes())
    if (Former.Process == Process)
      Result = std::max(Result, Former.Until + 1);
  if (Set.find(Process) != nullptr && Own != nullptr)
    Result = std::max(Result, Own->Since);
  return Result;
}

Instant PriorOwnerResolver::firstReadAt(Epoch AtEpoch) const {
  const auto Found = EpochReadAt.lower_bound(AtEpoch);
  return Found != EpochReadAt.end() ? Found->second : Instant::never();
}

bool PriorOwnerResolver::isCutOff(const ProcessId &Owner,
                                  const RequestKey &Key) const {
  // The owner accepted keys created up to MaxClockSkew ahead of its wall clock,
  // and its clock may have been MaxClockSkew ahead of the clock of the cutoff.
  return std::any_of(Knowledge.Cutoffs.begin(), Knowledge.Cutoffs.end(),
                     [&Owner, &Key](const KeyCutoff &Cutoff) {
                       return Cutoff.Process == Owner &&
                              Key.createdAt() < Cutoff.Time + MaxClockSkew * 2;
                     });
}

} // namespace camphorpin
