#include "camphorpin/src/Gateway/BackendTracker.h"

namespace camphorpin {

namespace {

/// Departed ids kept per host; a host sees a few incarnations a day.
constexpr std::size_t MaxDeparted = 64;
/// Minimum time between the first report and the one that confirms it. It is
/// most of the report interval, so that two reports that were delayed together
/// don't confirm each other.
constexpr Duration MinConfirmInterval = Duration::seconds(1);
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
  return Found != Departed.end() && Now < Found->second.Until &&
         Report.StartedMillis <= Found->second.LatestStart;
}

bool BackendTracker::onReport(const BackendReport &Report, Instant Now) {
  if (Report.Address != Address || Report.Service != Service)
    return false;
  if (Report.Phase == BackendPhase::Ready && hasDeparted(Report, Now))
    return false;
  if (Report.StartedMillis < Current.StartedMillis)
    return false;
  // A backend server identified by a health check takes its start time from its
  // first report.
  const bool StartUnknown =
      Current.StartedMillis == 0 && Current.Phase == BackendPhase::Ready;
  const bool SameIncarnation =
      Report.Id == Current.Id &&
      (Report.StartedMillis == Current.StartedMillis || StartUnknown);
  return SameIncarnation ? update(Report, Now) : replaceCurrent(Report, Now);
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
  // An incarnation that drains never becomes ready again.
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

bool BackendTracker::onDeparture(std::string_view Id, Instant WallNow,
                                 Instant Now) {
  if (Departed.size() >= MaxDeparted)
    Departed.erase(Departed.begin());
  const bool IsCurrent = Id == Current.Id;
  const bool StartKnown = IsCurrent && Current.StartedMillis != 0;
  Departure &Item = Departed[std::string(Id)];
  Item.LatestStart = StartKnown ? Current.StartedMillis : WallNow.wholeMillis();
  Item.Until = StartKnown ? Instant::never() : Now + WallClockCheckPeriod;
  if (!IsCurrent || Current.Phase == BackendPhase::Departed)
    return false;
  Current.Phase = BackendPhase::Departed;
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
    Current.Phase = BackendPhase::Departed;
}

} // namespace camphorpin
