#ifndef CAMPHORPIN_SRC_ADMISSION_AIMDLIMIT_H
#define CAMPHORPIN_SRC_ADMISSION_AIMDLIMIT_H

#include "camphorpin/src/Admission/ConcurrencyLimit.h"

namespace camphorpin {

/// \class AimdLimit
/// \brief Additive increase while the latency stays near the smallest one,
/// multiplicative decrease otherwise.
///
/// Decides once per window of finished calls. After a start the limit ramps up
/// by a factor per window until the first decrease.
class AimdLimit final : public ConcurrencyLimit {
public:
  explicit AimdLimit(std::uint32_t Slots);

  void onFinished(const LatencySample &Sample, Instant Now) override;
  void onBackendShed(std::size_t Running, Instant Now) override;
  void restart() override;
  void setSlots(std::uint32_t Value) override;
  std::uint32_t value() const override;

private:
  void closeWindow();
  void decrease();
  double smallest() const;

  std::uint32_t Slots;
  double Limit = 1;
  bool Ramping = true;
  Instant WindowStart;
  Instant LastDecrease;
  double SlowdownSum = 0;
  std::size_t Samples = 0;
  std::size_t MostRunning = 0;
};

} // namespace camphorpin

#endif
