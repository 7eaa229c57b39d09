#include "camphorpin/src/Gateway/BackendTracker.h"

#include <algorithm>

namespace camphorpin {

namespace {

/// Departed ids kept per host; a host sees a few incarnations a day.
constexpr std::size_t MaxDeparted = 64;
/// Departures that departures() returns.
constexpr std::size_t MaxListedDepartures = 8;
/// Minimum time between the first report and the one that confirms it. It is
/// most of the report interval, so that two reports that were delayed together
/// don't confirm each other.
constexpr Duration MinConfirmInterval = Duration::seconds(1);
/// Period over which a rival reports before it replaces a current incarnation
/// that has been silent meanwhile. It is longer than the report interval, so
/// that reports that were delayed together don't suffice.
constexpr Duration MinRivalPeriod = Duration::seconds(2);
/// Period in which reports of a departed id with unknown start time are
/// compared with the wall-clock time of its departure. At the end of this
/// period the departed server has ended and sends no more reports. The check
/// ends then, so that a wall clock that was set back can't keep out a new
/// incarnation for longer.
constexpr Duration WallClockCheckPeriod = Duration::seconds(60);

} // namespace

bool BackendTracker::hasDeparted(const BackendReport &Report,
                                 Instant Now) const {
  const auto Found = Departed.find(Report.Id);
  if (Found == Departed.end())
    return false;
  const Departure &Item = Found->second;
  if (Item.StartKnown)
    return Report.StartedMillis == Item.Start || Report.StartedMillis == 0;
  return Now < Item.Until && Report.StartedMillis <= Item.Start;
}

bool BackendTracker::onReport(const BackendReport &Report, Instant Now) {
  if (Report.Address != Address || Report.Service != Service)
    return false;
  if (Report.Phase == BackendPhase::Ready && hasDeparted(Report, Now))
    return false;
  if (Report.StartedMillis < Current.StartedMillis)
    return onEarlierStart(Report, Now);
  // A backend server identified by a health check takes its start time from its
  // first report.
  const bool StartUnknown =
      Current.StartedMillis == 0 && Current.Phase == BackendPhase::Ready;
  const bool SameIncarnation =
      Report.Id == Current.Id &&
      (Report.StartedMillis == Current.StartedMillis || StartUnknown);
  return SameIncarnation ? update(Report, Now) : replaceCurrent(Report, Now);
}

bool BackendTracker::onEarlierStart(const BackendReport &Report, Instant Now) {
  if (!Rival || !Rival->Report.sameIncarnation(Report)) {
    Rival = Contender{Report, Now};
    return false;
  }
  if (Report.Sequence <= Rival->Report.Sequence)
    return false;
  Rival->Report = Report;
  if (Now - Rival->FirstReport < MinRivalPeriod)
    return false;
  replaceCurrent(Report, Now);
  Confirmed = true;
  return true;
}

bool BackendTracker::replaceCurrent(const BackendReport &Report, Instant Now) {
  Rival.reset();
  Current = Report;
  Confirmed = false;
  FirstReport = Now;
  if (Current.Phase != BackendPhase::Ready)
    recordDeparture();
  return true;
}

void BackendTracker::recordDeparture() {
  if (Current.StartedMillis == 0)
    return;
  makeRoom();
  Departed[Current.Id] = Departure{Current.StartedMillis, true, Instant()};
}

void BackendTracker::makeRoom() {
  if (Departed.size() >= MaxDeparted)
    Departed.erase(Departed.begin());
}

std::vector<BackendDeparture> BackendTracker::departures() const {
  std::vector<BackendDeparture> Result;
  for (const auto &[Id, Item] : Departed)
    if (Item.StartKnown)
      Result.push_back({Id, Item.Start});
  std::sort(Result.begin(), Result.end(),
            [](const BackendDeparture &A, const BackendDeparture &B) {
              return A.StartedMillis > B.StartedMillis;
            });
  Result.resize(std::min(Result.size(), MaxListedDepartures));
  return Result;
}

bool BackendTracker::restoreDepartures(
    std::span<const BackendDeparture> Earlier) {
  bool Changed = false;
  for (const BackendDeparture &Item : Earlier) {
    if (Item.StartedMillis == 0)
      continue;
    if (!Departed.contains(Item.Id)) {
      makeRoom();
      Departed[Item.Id] = Departure{Item.StartedMillis, true, Instant()};
    }
    // A server that a health check has identified has no known start.
    const bool IsCurrent =
        Item.Id == Current.Id && (Current.StartedMillis == 0 ||
                                  Current.StartedMillis == Item.StartedMillis);
    if (!IsCurrent || Current.Phase != BackendPhase::Ready)
      continue;
    Current.Phase = BackendPhase::Draining;
    Changed = true;
  }
  return Changed;
}

bool BackendTracker::update(const BackendReport &Report, Instant Now) {
  const bool Leaves = Report.Phase != BackendPhase::Ready &&
                      Current.Phase == BackendPhase::Ready;
  // An incarnation that drains never becomes ready again, so a report that it
  // drains is true in any order. The current sequence number may be wrong.
  const bool InAnyOrder = Leaves && Report.StartedMillis != 0;
  if (Report.Sequence <= Current.Sequence && !InAnyOrder)
    return false;
  if (Current.Phase != BackendPhase::Ready &&
      Report.Phase == BackendPhase::Ready)
    return false;
  const bool Confirms = !Confirmed && Now - FirstReport >= MinConfirmInterval;
  const bool Changed = Report.Phase != Current.Phase ||
                       Report.Slots != Current.Slots || Confirms;
  Confirmed = Confirmed || Confirms;
  Rival.reset();
  Current = Report;
  if (Leaves)
    recordDeparture();
  return Changed;
}

bool BackendTracker::onDeparture(std::string_view Id, Instant WallNow,
                                 Instant Now) {
  makeRoom();
  const bool IsCurrent = Id == Current.Id;
  const bool StartKnown = IsCurrent && Current.StartedMillis != 0;
  Departure &Item = Departed[std::string(Id)];
  Item.StartKnown = StartKnown;
  Item.Start = StartKnown ? Current.StartedMillis : WallNow.wholeMillis();
  Item.Until = Now + WallClockCheckPeriod;
  if (!IsCurrent || Current.Phase == BackendPhase::Departed)
    return false;
  Current.Phase = BackendPhase::Departed;
  return true;
}

bool BackendTracker::onProbe(const BackendProbe &Probe) {
  if (Probe.Id.empty() || !Probe.Healthy || !needsProbe())
    return false;
  if (Rival && Probe.Id == Rival->Report.Id && Probe.Id != Current.Id) {
    const BackendReport Report = Rival->Report;
    replaceCurrent(Report, Rival->FirstReport);
    Confirmed = true;
    return true;
  }
  if (!Current.Id.empty()) {
    Rival.reset();
    const bool Confirms = !Confirmed && Probe.Id == Current.Id;
    Confirmed = Confirmed || Confirms;
    return Confirms;
  }
  if (Probe.Slots == 0 || Departed.contains(Probe.Id))
    return false;
  Current = BackendReport();
  Current.Id = Probe.Id;
  Current.Service = Service;
  Current.Address = Address;
  Current.Slots = Probe.Slots;
  Confirmed = true;
  return true;
}

void BackendTracker::onIdentityMismatch(std::string_view Id) {
  if (Id == Current.Id)
    Current.Phase = BackendPhase::Departed;
}

} // namespace camphorpin
