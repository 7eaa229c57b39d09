#ifndef CAMPHORPIN_SRC_ADMISSION_AIMDLIMIT_H
#define CAMPHORPIN_SRC_ADMISSION_AIMDLIMIT_H

#include "camphorpin/src/Admission/ConcurrencyLimit.h"

namespace camphorpin {

/// \class AimdLimit
/// \brief Additive increase while the latency stays near its minimum,
/// multiplicative decrease otherwise, as long as a decrease reduces the
/// latency.
///
/// Decides once per window of finished calls. After a start the limit grows by
/// a constant factor per window (slow start) until the first decrease.
///
/// Less concurrency shortens the latency only if calls compete within the
/// backend server. If the backend server waits for an external dependency, a
/// smaller limit only reduces throughput. So after each decrease the limit
/// compares the latency with that before; if it did not fall in proportion, the
/// limit is restored and the longer latency becomes the baseline.
class AimdLimit final : public ConcurrencyLimit {
public:
  enum class DecreaseMode : std::uint8_t { Verified, Unverified };

  /// \param Mode Unverified omits the check after a decrease, to measure its
  /// benefit.
  explicit AimdLimit(std::uint32_t Slots,
                     DecreaseMode Mode = DecreaseMode::Verified);

  void onFinished(const LatencySample &Sample, Instant Now) override;
  void onBackendShed(std::size_t Running, Instant Now) override;
  void restart() override;
  void setSlots(std::uint32_t Value) override;
  std::uint32_t value() const override;

private:
  void closeWindow();
  /// Slowdown and concurrency of a window of finished calls: means, or sums in
  /// WindowSum.
  struct Window {
    double Slowdown = 0;
    double Running = 0;
  };

  void adjustLimit(const Window &Observed);
  bool decreaseWasIneffective(const Window &Observed) const;
  void increase();
  void decrease(double Running);
  double minLimit() const;

  std::uint32_t Slots;
  DecreaseMode Mode;
  double Limit = 1;
  bool InSlowStart = true;
  /// The window in progress still contains calls from before a decrease.
  bool SkipWindow = false;
  /// Slowdown that is accepted as independent of the concurrency, at least 1.
  double BaselineSlowdown = 1;
  /// Limit and window before the first decrease that is not verified yet.
  /// LimitBeforeDecrease is 0 if there is none.
  double LimitBeforeDecrease = 0;
  Window WindowBeforeDecrease;
  Instant WindowStart;
  Instant LastShed;
  Window WindowSum;
  std::size_t Samples = 0;
  bool AtLimit = false;
};

} // namespace camphorpin

#endif
