#ifndef CAMPHORPIN_SRC_ADMISSION_CONCURRENCYLIMIT_H
#define CAMPHORPIN_SRC_ADMISSION_CONCURRENCYLIMIT_H

#include "camphorpin/Core.h"

#include <cstddef>
#include <cstdint>

namespace camphorpin {

/// \class LatencySample
/// \brief One finished call as seen by a concurrency limit.
struct LatencySample {
  /// Service time without the time spent waiting for downstream calls, divided
  /// by the smallest smoothed value for the same operation. 1 means no
  /// slowdown.
  double Slowdown = 1;
  /// Calls that ran when this one finished, itself included.
  std::size_t Running = 0;
  /// Calls were waiting, or the limit was reached. Otherwise the latency gives
  /// no evidence for a larger limit.
  bool AtLimit = false;
};

/// \class ConcurrencyLimit
/// \brief Limits the calls that run on a backend server at the same time.
class ConcurrencyLimit {
public:
  virtual ~ConcurrencyLimit() = default;

  virtual void onFinished(const LatencySample &Sample, Instant Now) = 0;

  /// The backend server refused a call although it was within the limit.
  /// \param Running calls that ran at that time.
  virtual void onBackendShed(std::size_t Running, Instant Now) = 0;

  /// Starts over from the initial limit after the backend server was replaced.
  virtual void restart() = 0;

  /// \param Value upper bound of the limit, at least 1.
  virtual void setSlots(std::uint32_t Value) = 0;

  /// \returns the limit, at least 1 and at most the slots.
  virtual std::uint32_t value() const = 0;
};

} // namespace camphorpin

#endif
