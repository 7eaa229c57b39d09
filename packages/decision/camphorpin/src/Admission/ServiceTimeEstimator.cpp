#include "camphorpin/src/Admission/ServiceTimeEstimator.h"

#include <algorithm>
#include <cmath>

using namespace camphorpin;
using namespace camphorpin::detail;

namespace {

constexpr double EwmaWeight = 0.125;
/// The smallest of an average over few samples lies far below the mean when
/// service times vary: at 0.125 it gave false decreases of the limit.
constexpr double OwnTimeEwmaWeight = 0.03;
/// Samples of an operation before its smallest time counts. A smallest time
/// that starts with a single quick call gave false decreases as well.
constexpr std::uint32_t MinSamples = 16;
/// The smallest time is forgotten after one to two periods, so that a
/// permanent change of the service time is accepted.
constexpr Duration MinimumPeriod = Duration::seconds(30);
/// Without samples for this long, the estimate halves, and again after each
/// further such time.
constexpr Duration DecayInterval = Duration::seconds(1);
constexpr std::int64_t MaxHalvings = 20;
/// Own times below this are not distinguished, in ms: timer noise.
constexpr double MinOwnMillis = 0.1;

void updateEwma(double &Value, double Sample, double Factor = EwmaWeight) {
  Value += Factor * (Sample - Value);
}

} // namespace

double ServiceTimeEstimator::record(std::uint8_t Class, Duration Held,
                                    Duration Own, Instant Now) {
  Entry &Of = Entries[Class];
  const double HeldMillis = Held.toMillis();
  const double OwnMillis = std::max(Own.toMillis(), MinOwnMillis);
  if (Of.Samples == 0)
    Of.Mean = HeldMillis;
  if (OverallMean == 0)
    OverallMean = HeldMillis;
  if (Of.Samples <= MinSamples)
    ++Of.Samples;
  updateEwma(Of.Deviation, std::abs(HeldMillis - Of.Mean));
  updateEwma(Of.Mean, HeldMillis);
  // The first samples weigh alike, so that none of them dominates.
  updateEwma(Of.SmoothedOwn, OwnMillis,
             std::max(OwnTimeEwmaWeight, 1.0 / Of.Samples));
  updateEwma(OverallMean, HeldMillis);
  Of.LastSample = Now;
  if (Of.Samples < MinSamples)
    return 1;
  updateMinimum(Of, Now);
  return OwnMillis / std::min(Of.CurrentMinimum, Of.PreviousMinimum);
}

void ServiceTimeEstimator::updateMinimum(Entry &Of, Instant Now) {
  if (Now >= Of.PeriodEnd) {
    const bool First = Of.CurrentMinimum == 0;
    Of.PreviousMinimum = First ? Of.SmoothedOwn : Of.CurrentMinimum;
    Of.CurrentMinimum = Of.SmoothedOwn;
    Of.PeriodEnd = Now + MinimumPeriod;
  }
  Of.CurrentMinimum = std::min(Of.CurrentMinimum, Of.SmoothedOwn);
}

Duration ServiceTimeEstimator::mean(std::uint8_t Class) const {
  const Entry &Of = Entries[Class];
  return Of.Samples == 0 ? mean() : Duration::fromMillis(Of.Mean);
}

Duration ServiceTimeEstimator::expected(std::uint8_t Class, Instant Now) const {
  const Entry &Of = Entries[Class];
  if (Of.Samples == 0)
    return {};
  const std::int64_t Silent =
      (Now - Of.LastSample).ticks() / DecayInterval.ticks();
  const int Halvings =
      static_cast<int>(std::clamp<std::int64_t>(Silent, 0, MaxHalvings));
  return Duration::fromMillis(std::ldexp(Of.Mean + Of.Deviation, -Halvings));
}
