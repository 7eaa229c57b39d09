#ifndef CAMPHORPIN_SRC_RETRY_RETRYTHROTTLE_H
#define CAMPHORPIN_SRC_RETRY_RETRYTHROTTLE_H

#include <cstdint>

namespace camphorpin {

/// \class RetryThrottle
/// \brief Token bucket that limits the retries on one edge (calling and called
/// service) to a share of the first attempts.
class RetryThrottle {
public:
  /// Maximum number of consecutive retries after an idle period. Without a
  /// burst a rarely used edge could never retry.
  static constexpr double Burst = 3;

  /// \param Ratio retries per first attempt, in [0, 1].
  explicit RetryThrottle(double Ratio);

  /// Counts a first attempt.
  void onFirstAttempt();

  /// \returns true if a retry is allowed now; consumes a token in that case.
  bool tryAcquire();

  /// \returns true if tryAcquire() would succeed.
  bool allows() const { return Tokens >= 1; }

private:
  double Ratio;
  double Tokens = Burst;
};

} // namespace camphorpin

#endif
