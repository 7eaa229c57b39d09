#include "camphorpin/src/Gateway/BackendTracker.h"

namespace camphorpin {

namespace {

/// Ids kept per host; a host sees a few incarnations a day.
constexpr std::size_t MaxDeparted = 64;
/// Time between two reports from which the second confirms the first: most of
/// the interval of reports, so that two that were held up together don't.
constexpr Duration MinConfirmInterval = Duration::seconds(1);
/// How long reports of an id that left with an unknown start are compared with
/// the time of its departure. A backend server has ended by then, and a wall
/// clock that was set back does no harm afterwards.
constexpr Duration WallClockCheckPeriod = Duration::seconds(60);

} // namespace

bool BackendTracker::hasLeft(const BackendReport &Report, Instant Now) const {
  const auto Found = Departed.find(Report.Id);
  return Found != Departed.end() && Now < Found->second.Until &&
         Report.StartedMillis <= Found->second.LatestStart;
}

bool BackendTracker::onReport(const BackendReport &Report, Instant Now) {
  if (Report.Address != Address || Report.Service != Service)
    return false;
  if (Report.Phase == BackendPhase::Ready && hasLeft(Report, Now))
    return false;
  if (Report.StartedMillis < Current.StartedMillis)
    return false;
  const bool StartUnknown =
      Current.StartedMillis == 0 && Current.Phase == BackendPhase::Ready;
  const bool SameStart =
      Report.Id == Current.Id &&
      (Report.StartedMillis == Current.StartedMillis || StartUnknown);
  return SameStart ? update(Report, Now) : replaceCurrent(Report, Now);
}

bool BackendTracker::replaceCurrent(const BackendReport &Report, Instant Now) {
  Current = Report;
  Confirmed = false;
  FirstReport = Now;
  return true;
}

bool BackendTracker::update(const BackendReport &Report, Instant Now) {
  if (Report.Sequence <= Current.Sequence)
    return false;
  // Draining is final for one incarnation.
  if (Current.Phase != BackendPhase::Ready &&
      Report.Phase == BackendPhase::Ready)
    return false;
  const bool Confirms = !Confirmed && Now - FirstReport >= MinConfirmInterval;
  const bool Changed = Report.Phase != Current.Phase ||
                       Report.Slots != Current.Slots || Confirms;
  Confirmed = Confirmed || Confirms;
  Current = Report;
  return Changed;
}

bool BackendTracker::onGone(std::string_view Id, Instant WallNow, Instant Now) {
  if (Departed.size() >= MaxDeparted)
    Departed.erase(Departed.begin());
  const bool IsCurrent = Id == Current.Id;
  const bool StartKnown = IsCurrent && Current.StartedMillis != 0;
  Departure &Item = Departed[std::string(Id)];
  Item.LatestStart = StartKnown ? Current.StartedMillis : WallNow.wholeMillis();
  Item.Until = StartKnown ? Instant::never() : Now + WallClockCheckPeriod;
  if (!IsCurrent || Current.Phase == BackendPhase::Gone)
    return false;
  Current.Phase = BackendPhase::Gone;
  return true;
}

bool BackendTracker::onProbe(const BackendProbe &Probe) {
  if (Probe.Id.empty() || !Probe.Healthy || !needsProbe())
    return false;
  if (!Current.Id.empty()) {
    Confirmed = Probe.Id == Current.Id;
    return Confirmed;
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
    Current.Phase = BackendPhase::Gone;
}

} // namespace camphorpin
