#include "camphorpin/src/Gateway/BackendLedger.h"

namespace camphorpin {

namespace {

/// Ids kept per host; a host sees a few incarnations a day.
constexpr std::size_t MaxDeparted = 64;

} // namespace

bool BackendLedger::left(const BackendReport &Report) const {
  const auto Found = Departed.find(Report.Id);
  return Found != Departed.end() && Report.StartedMillis <= Found->second;
}

bool BackendLedger::onReport(const BackendReport &Report) {
  if (Report.Address != Address || Report.Service != Service)
    return false;
  if (Report.Phase == BackendPhase::Ready && left(Report))
    return false;
  if (Report.StartedMillis < Current.StartedMillis)
    return false;
  const bool SameStart =
      Report.Id == Current.Id && Report.StartedMillis == Current.StartedMillis;
  if (SameStart && Report.Sequence <= Current.Sequence)
    return false;
  // Draining is final for one incarnation.
  if (SameStart && Current.Phase != BackendPhase::Ready &&
      Report.Phase == BackendPhase::Ready)
    return false;
  const bool Changed = !SameStart || Report.Phase != Current.Phase ||
                       Report.Slots != Current.Slots;
  Current = Report;
  return Changed;
}

bool BackendLedger::onGone(std::string_view Id) {
  if (Departed.size() >= MaxDeparted)
    Departed.erase(Departed.begin());
  const bool IsCurrent = Id == Current.Id;
  Departed[std::string(Id)] = IsCurrent ? Current.StartedMillis : 0;
  if (!IsCurrent || Current.Phase == BackendPhase::Gone)
    return false;
  Current.Phase = BackendPhase::Gone;
  return true;
}

bool BackendLedger::onProbe(const BackendProbe &Probe) {
  if (Probe.Id.empty() || !Current.Id.empty())
    return false;
  if (!Probe.Healthy || Probe.Slots == 0 || Departed.contains(Probe.Id))
    return false;
  Current = BackendReport();
  Current.Id = Probe.Id;
  Current.Service = Service;
  Current.Address = Address;
  Current.Slots = Probe.Slots;
  return true;
}

void BackendLedger::onMismatch(std::string_view Id) {
  if (Id == Current.Id)
    Current.Phase = BackendPhase::Gone;
}

} // namespace camphorpin
