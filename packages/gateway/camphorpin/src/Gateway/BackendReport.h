#ifndef CAMPHORPIN_SRC_GATEWAY_BACKENDREPORT_H
#define CAMPHORPIN_SRC_GATEWAY_BACKENDREPORT_H

#include "camphorpin/Core.h"

#include <cstdint>
#include <string>

namespace camphorpin {

/// \brief What a backend server says about its own life cycle.
enum class BackendPhase : std::uint8_t { Ready, Draining, Gone };

/// \class BackendReport
/// \brief A heartbeat of a backend server.
struct BackendReport {
  std::string Id;
  std::string Service;
  std::string Address;
  /// Requests that it runs at the same time.
  std::uint32_t Slots = 1;
  BackendPhase Phase = BackendPhase::Ready;
  /// How much longer it is slow after its start.
  Duration RemainingWarmUp;
  /// Grows with each report of one incarnation.
  std::uint64_t Sequence = 0;
  /// Unix time in milliseconds of its start; 0 if it isn't told.
  std::int64_t StartedMillis = 0;

  /// \returns true unless it is known that the reports are of different starts.
  bool sameIncarnation(const BackendReport &Other) const {
    const bool StartsKnown = StartedMillis != 0 && Other.StartedMillis != 0;
    return Id == Other.Id &&
           (!StartsKnown || StartedMillis == Other.StartedMillis);
  }
};

/// \class BackendProbe
/// \brief The answer of a backend server to a health check.
struct BackendProbe {
  bool Healthy = false;
  /// Empty if the answer named none.
  std::string Id;
  /// 0 if the answer had no load report.
  std::uint32_t Slots = 0;
};

} // namespace camphorpin

#endif
