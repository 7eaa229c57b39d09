#include "camphorpin/src/Membership/ZoneMonitor.h"

#include <algorithm>

namespace camphorpin {

bool ZoneMonitor::startSampleIfManySuspects(const ZoneName &Zone,
                                            std::size_t Suspects,
                                            std::size_t Present, Instant Now) {
  const std::size_t Majority = Present / 2 + 1;
  const std::size_t Threshold =
      std::max(MinSuspectThreshold, std::min(SuspectThreshold, Majority));
  if (Suspects < Threshold)
    return false;
  return onReport(Zone, Now);
}

bool ZoneMonitor::onReport(const ZoneName &Zone, Instant Now) {
  ZoneState &State = Zones[Zone];
  if (State.Unreachable || State.Sampling)
    return false;
  if (Now - State.LastSample < SampleInterval)
    return false;
  startSample(State, Now);
  return true;
}

bool ZoneMonitor::onProbeOutcome(const ZoneName &Zone, bool Answered) {
  const auto Found = Zones.find(Zone);
  if (Found == Zones.end() || !Found->second.Sampling)
    return false;
  ZoneState &State = Found->second;
  ++(Answered ? State.Answered : State.Failed);
  if (State.Answered + State.Failed < SampleSize)
    return false;
  const bool WasUnreachable = State.Unreachable;
  State.Sampling = false;
  State.Unreachable = State.Failed > State.Answered;
  return State.Unreachable != WasUnreachable;
}

bool ZoneMonitor::startSampleIfUnreachable(const ZoneName &Zone, Instant Now) {
  const auto Found = Zones.find(Zone);
  if (Found == Zones.end() || !Found->second.Unreachable ||
      Found->second.Sampling)
    return false;
  startSample(Found->second, Now);
  return true;
}

void ZoneMonitor::tick(Instant Now) {
  for (auto &[Zone, State] : Zones)
    if (State.Sampling && Now - State.LastSample >= SampleInterval)
      State.Sampling = false;
}

bool ZoneMonitor::reachable(const ZoneName &Zone) const {
  const auto Found = Zones.find(Zone);
  return Found == Zones.end() || !Found->second.Unreachable;
}

bool ZoneMonitor::isUnreachableOrSampled(const ZoneName &Zone) const {
  const auto Found = Zones.find(Zone);
  return Found != Zones.end() &&
         (Found->second.Unreachable || Found->second.Sampling);
}

std::vector<ZoneName> ZoneMonitor::unreachable() const {
  std::vector<ZoneName> Result;
  for (const auto &[Zone, State] : Zones)
    if (State.Unreachable)
      Result.push_back(Zone);
  std::sort(Result.begin(), Result.end());
  return Result;
}

void ZoneMonitor::startSample(ZoneState &State, Instant Now) {
  State.Sampling = true;
  State.Answered = 0;
  State.Failed = 0;
  State.LastSample = Now;
}

} // namespace camphorpin
