#include "camphorpin/src/Admission/ServiceTimeEstimator.h"

#include <algorithm>
#include <cmath>

using namespace camphorpin;
using namespace camphorpin::detail;

namespace {

constexpr double EwmaWeight = 0.125;
/// With few samples in the average, its minimum is far below the mean when
/// service times vary: 0.125 caused false decreases of the limit.
constexpr double OwnTimeEwmaWeight = 0.03;
/// Samples of an operation before its minimum is used. A minimum taken from a
/// single short call also caused false decreases.
constexpr std::uint32_t MinSamples = 16;
/// The minimum is discarded after one to two periods, so that a permanent
/// change of the service time is accepted.
constexpr Duration MinimumPeriod = Duration::seconds(30);
/// Without samples for this long, the estimate halves, and again after each
/// further such time.
constexpr Duration DecayInterval = Duration::seconds(1);
constexpr std::int64_t MaxHalvings = 20;
/// Lower bound of own times in ms; differences below it are timer noise.
constexpr double MinOwnTimeMillis = 0.1;

void updateEwma(double &Value, double Sample, double Factor = EwmaWeight) {
  Value += Factor * (Sample - Value);
}

} // namespace

double ServiceTimeEstimator::record(std::uint8_t Bucket, Duration SlotTime,
                                    Duration OwnTime, Instant Now) {
  BucketEstimate &Estimate = Estimates[Bucket];
  const double SlotMillis = SlotTime.toMillis();
  const double OwnTimeMillis = std::max(OwnTime.toMillis(), MinOwnTimeMillis);
  if (Estimate.Samples == 0)
    Estimate.Mean = SlotMillis;
  if (OverallMean == 0)
    OverallMean = SlotMillis;
  if (Estimate.Samples <= MinSamples)
    ++Estimate.Samples;
  updateEwma(Estimate.Deviation, std::abs(SlotMillis - Estimate.Mean));
  updateEwma(Estimate.Mean, SlotMillis);
  // The first samples weigh alike, so that none of them dominates.
  updateEwma(Estimate.SmoothedOwnTime, OwnTimeMillis,
             std::max(OwnTimeEwmaWeight, 1.0 / Estimate.Samples));
  updateEwma(OverallMean, SlotMillis);
  Estimate.LastSample = Now;
  if (Estimate.Samples < MinSamples)
    return 1;
  updateMinimum(Estimate, Now);
  return OwnTimeMillis /
         std::min(Estimate.CurrentMinimum, Estimate.PreviousMinimum);
}

void ServiceTimeEstimator::updateMinimum(BucketEstimate &Estimate,
                                         Instant Now) {
  if (Now >= Estimate.PeriodEnd) {
    const bool First = Estimate.CurrentMinimum == 0;
    Estimate.PreviousMinimum =
        First ? Estimate.SmoothedOwnTime : Estimate.CurrentMinimum;
    Estimate.CurrentMinimum = Estimate.SmoothedOwnTime;
    Estimate.PeriodEnd = Now + MinimumPeriod;
  }
  Estimate.CurrentMinimum =
      std::min(Estimate.CurrentMinimum, Estimate.SmoothedOwnTime);
}

Duration ServiceTimeEstimator::mean(std::uint8_t Bucket) const {
  const BucketEstimate &Estimate = Estimates[Bucket];
  return Estimate.Samples == 0 ? mean() : Duration::fromMillis(Estimate.Mean);
}

Duration ServiceTimeEstimator::expected(std::uint8_t Bucket,
                                        Instant Now) const {
  const BucketEstimate &Estimate = Estimates[Bucket];
  if (Estimate.Samples == 0)
    return {};
  const std::int64_t IntervalsWithoutSample =
      (Now - Estimate.LastSample).ticks() / DecayInterval.ticks();
  const int Halvings = static_cast<int>(
      std::clamp<std::int64_t>(IntervalsWithoutSample, 0, MaxHalvings));
  return Duration::fromMillis(
      std::ldexp(Estimate.Mean + Estimate.Deviation, -Halvings));
}
