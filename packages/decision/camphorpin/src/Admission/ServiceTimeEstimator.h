#ifndef CAMPHORPIN_SRC_ADMISSION_SERVICETIMEESTIMATOR_H
#define CAMPHORPIN_SRC_ADMISSION_SERVICETIMEESTIMATOR_H

#include "camphorpin/Core.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace camphorpin::detail {

/// \class ServiceTimeEstimator
/// \brief Estimates the service times of one backend server by operation, as
/// exponentially weighted moving averages.
///
/// Operations are hashed into BucketCount buckets, so memory is constant.
/// Operations in the same bucket share an estimate.
class ServiceTimeEstimator {
public:
  static constexpr std::size_t BucketCount = 64;

  static std::uint8_t bucketOf(std::uint64_t OperationHash) {
    return static_cast<std::uint8_t>(OperationHash % BucketCount);
  }

  /// Records a finished call.
  /// \param SlotTime time for which the call held its slot.
  /// \param OwnTime part of it in which the backend server itself worked.
  /// \returns \p OwnTime divided by the smallest smoothed own time; 1 until
  /// there are enough samples of the operation.
  double record(std::uint8_t Bucket, Duration SlotTime, Duration OwnTime,
                Instant Now);

  /// \returns the time that a call is expected to hold its slot, with a margin
  /// of one mean deviation; zero if unknown.
  ///
  /// The estimate decays while no call of the operation finishes. Otherwise an
  /// estimate longer than all deadlines would cause all calls to be refused and
  /// could never be corrected.
  Duration expected(std::uint8_t Bucket, Instant Now) const;

  /// \returns the smoothed slot time of the operation; of all operations if it
  /// is unknown.
  Duration mean(std::uint8_t Bucket) const;

  /// \returns the smoothed slot time of all operations.
  Duration mean() const { return Duration::fromMillis(OverallMean); }

  /// Discards all estimates, after the backend server was replaced.
  void clear() { *this = ServiceTimeEstimator(); }

private:
  struct BucketEstimate {
    double Mean = 0;
    double Deviation = 0;
    double SmoothedOwnTime = 0;
    /// Smallest smoothed own time in this and in the previous period.
    double CurrentMinimum = 0;
    double PreviousMinimum = 0;
    Instant PeriodEnd;
    Instant LastSample;
    std::uint32_t Samples = 0;
  };

  static void updateMinimum(BucketEstimate &Estimate, Instant Now);

  std::array<BucketEstimate, BucketCount> Estimates;
  double OverallMean = 0;
};

} // namespace camphorpin::detail

#endif
