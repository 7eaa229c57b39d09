#include "camphorpin/src/Crash/CrashGuard.h"

#include <algorithm>
#include <cassert>

namespace camphorpin {

namespace {

/// Ages of reports leave out the time on the way, so the same crash seems
/// earlier on one node than on another by up to this.
constexpr Duration MaxTransitTime = Duration::seconds(1);

} // namespace

CrashDecision CrashGuard::start(std::uint64_t RunId, std::uint64_t Fingerprint,
                                std::uint8_t CrashCount, Instant Now) {
  assert(!Running.contains(RunId) && "the run has already started");
  const std::uint8_t Crashes =
      std::max(CrashCount, crashCount(Fingerprint, Now));
  if (Crashes >= Options.MaxCrashes)
    return CrashDecision::Refuse;
  const bool IsSuspect = Crashes > 0;
  if (IsSuspect && isSuspectRunning(Now))
    return CrashDecision::Defer;
  Running[RunId] = Run{Fingerprint, IsSuspect, DetectedCrashes};
  return CrashDecision::Start;
}

std::uint8_t CrashGuard::crashCount(std::uint64_t Fingerprint,
                                    Instant Now) const {
  const auto Found = Suspects.find(Fingerprint);
  if (Found == Suspects.end() || Found->second.Cleared ||
      expired(Found->second, Now))
    return 0;
  return static_cast<std::uint8_t>(Found->second.CrashIds.size());
}

bool CrashGuard::mustRefuse(std::uint64_t Fingerprint, Instant Now) const {
  return crashCount(Fingerprint, Now) >= Options.MaxCrashes;
}

void CrashGuard::end(std::uint64_t RunId, bool Completed, Instant Now) {
  const std::optional<Run> Record = take(RunId);
  if (!Record || !Completed)
    return;
  const std::uint64_t Fingerprint = Record->Fingerprint;
  const auto Entry = Suspects.find(Fingerprint);
  // A request with MaxCrashes crashes stays refused until its crashes expire: a
  // run that was already in progress elsewhere does not show that the crashed
  // runs were harmless.
  if (Entry == Suspects.end() || mustRefuse(Fingerprint, Now))
    return;
  Entry->second.Cleared = true;
  Entry->second.TransmissionsLeft = Options.Transmissions;
}

std::uint64_t CrashGuard::crashIdFor(const Run &Record) {
  const std::uint64_t Number = Record.EarlierCrashes + 1;
  DetectedCrashes = std::max(DetectedCrashes, Number);
  return std::max<std::uint64_t>(1, stableHash(Self.stableHash(), Number));
}

void CrashGuard::onRunLost(std::uint64_t RunId, Instant Now) {
  const std::optional<Run> Record = take(RunId);
  if (Record)
    addCrash(Record->Fingerprint, crashIdFor(*Record), Now);
}

void CrashGuard::onRunUndecided(std::uint64_t RunId) {
  const std::optional<Run> Record = take(RunId);
  if (Record)
    Undecided[RunId] = *Record;
}

std::optional<CrashGuard::Run> CrashGuard::take(std::uint64_t RunId) {
  for (std::map<std::uint64_t, Run> *Records : {&Running, &Undecided}) {
    const auto Found = Records->find(RunId);
    if (Found == Records->end())
      continue;
    const Run Result = Found->second;
    Records->erase(Found);
    return Result;
  }
  return std::nullopt;
}

void CrashGuard::onBackendCrash(Instant Now) {
  for (const auto &[RunId, Record] : Running)
    addCrash(Record.Fingerprint, crashIdFor(Record), Now);
  Running.clear();
}

void CrashGuard::onReport(const CrashReport &Report, Instant Now) {
  if (Report.Age >= Options.Retention || Report.Age < Duration())
    return;
  const Instant CrashTime = Now - Report.Age;
  if (Report.CrashId != 0) {
    addCrash(Report.Fingerprint, Report.CrashId, CrashTime);
    return;
  }
  const auto Found = Suspects.find(Report.Fingerprint);
  if (Found == Suspects.end() || Found->second.Cleared ||
      mustRefuse(Report.Fingerprint, Now) ||
      CrashTime + MaxTransitTime < Found->second.LastCrash)
    return;
  Found->second.Cleared = true;
  Found->second.TransmissionsLeft = Options.Transmissions;
}

std::vector<CrashReport> CrashGuard::takeReports(std::size_t Limit,
                                                 Instant Now) {
  std::vector<std::uint64_t> Order;
  for (const auto &[Fingerprint, Record] : Suspects)
    if (Record.TransmissionsLeft > 0 && !expired(Record, Now))
      Order.push_back(Fingerprint);
  // Least often forwarded reports come first: one crash adds many suspects
  // at once, and all of them have to be disseminated early.
  std::sort(Order.begin(), Order.end(),
            [this](std::uint64_t LeftKey, std::uint64_t RightKey) {
              const Suspect &Left = Suspects.at(LeftKey);
              const Suspect &Right = Suspects.at(RightKey);
              if (Left.TransmissionsLeft != Right.TransmissionsLeft)
                return Left.TransmissionsLeft > Right.TransmissionsLeft;
              return Left.LastCrash > Right.LastCrash;
            });
  std::vector<CrashReport> Result;
  for (const std::uint64_t Fingerprint : Order) {
    Suspect &Record = Suspects.at(Fingerprint);
    const std::size_t Needed = Record.Cleared ? 1 : Record.CrashIds.size();
    if (Result.size() + Needed > Limit)
      break;
    --Record.TransmissionsLeft;
    const Duration Age = Now - Record.LastCrash;
    if (Record.Cleared)
      Result.push_back({Fingerprint, 0, Age});
    else
      for (const std::uint64_t CrashId : Record.CrashIds)
        Result.push_back({Fingerprint, CrashId, Age});
  }
  return Result;
}

std::vector<CrashReport> CrashGuard::knownReports(std::size_t Limit,
                                                  Instant Now) const {
  using Entry = std::pair<const std::uint64_t, Suspect>;
  std::vector<const Entry *> Order;
  for (const Entry &Item : Suspects)
    if (crashCount(Item.first, Now) > 0)
      Order.push_back(&Item);
  std::sort(Order.begin(), Order.end(), [](const Entry *A, const Entry *B) {
    if (A->second.CrashIds.size() != B->second.CrashIds.size())
      return A->second.CrashIds.size() > B->second.CrashIds.size();
    return A->second.LastCrash > B->second.LastCrash;
  });
  std::vector<CrashReport> Result;
  for (const Entry *Item : Order) {
    const Suspect &Record = Item->second;
    if (Result.size() + Record.CrashIds.size() > Limit)
      break;
    for (const std::uint64_t CrashId : Record.CrashIds)
      Result.push_back({Item->first, CrashId, Now - Record.LastCrash});
  }
  return Result;
}

void CrashGuard::tick(Instant Now) {
  std::erase_if(Suspects, [this, Now](const auto &Entry) {
    return expired(Entry.second, Now);
  });
}

CrashGuard::Suspect *CrashGuard::findOrInsert(std::uint64_t Fingerprint) {
  const auto Found = Suspects.find(Fingerprint);
  if (Found != Suspects.end())
    return &Found->second;
  if (Suspects.size() >= Options.MaxSuspects) {
    const auto Evicted = std::min_element(
        Suspects.begin(), Suspects.end(),
        [](const auto &Left, const auto &Right) {
          const std::size_t LeftCount = Left.second.CrashIds.size();
          const std::size_t RightCount = Right.second.CrashIds.size();
          if (LeftCount != RightCount)
            return LeftCount < RightCount;
          return Left.second.LastCrash < Right.second.LastCrash;
        });
    Suspects.erase(Evicted);
  }
  return &Suspects[Fingerprint];
}

void CrashGuard::addCrash(std::uint64_t Fingerprint, std::uint64_t CrashId,
                          Instant CrashTime) {
  Suspect *Record = findOrInsert(Fingerprint);
  const bool IsKnown =
      std::find(Record->CrashIds.begin(), Record->CrashIds.end(), CrashId) !=
      Record->CrashIds.end();
  if (IsKnown || Record->CrashIds.size() >= Options.MaxCrashes)
    return;
  if (Record->Cleared) {
    // The cleared crash was caused by another request; this crash is new.
    Record->CrashIds.clear();
    Record->Cleared = false;
  }
  Record->CrashIds.push_back(CrashId);
  Record->LastCrash = std::max(Record->LastCrash, CrashTime);
  Record->TransmissionsLeft = Options.Transmissions;
}

bool CrashGuard::expired(const Suspect &Record, Instant Now) const {
  return Now - Record.LastCrash >= Options.Retention;
}

bool CrashGuard::isSuspectRunning(Instant Now) const {
  // A request may have become a suspect after its run started.
  return std::any_of(Running.begin(), Running.end(),
                     [this, Now](const auto &Entry) {
                       return Entry.second.IsSuspect ||
                              crashCount(Entry.second.Fingerprint, Now) > 0;
                     });
}

} // namespace camphorpin
