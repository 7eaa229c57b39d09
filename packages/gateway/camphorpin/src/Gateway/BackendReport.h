#ifndef CAMPHORPIN_SRC_GATEWAY_BACKENDREPORT_H
#define CAMPHORPIN_SRC_GATEWAY_BACKENDREPORT_H

#include "camphorpin/Core.h"

#include <cstdint>
#include <string>

namespace camphorpin {

/// \brief Life-cycle phase that a backend server reports.
enum class BackendPhase : std::uint8_t { Ready, Draining, Departed };

/// \class BackendReport
/// \brief A heartbeat of a backend server.
struct BackendReport {
  std::string Id;
  std::string Service;
  std::string Address;
  /// Requests that the backend server executes concurrently.
  std::uint32_t Slots = 1;
  BackendPhase Phase = BackendPhase::Ready;
  /// Remaining warm-up time, in which the backend server is slow.
  Duration RemainingWarmUp;
  /// Increases with each report of one incarnation.
  std::uint64_t Sequence = 0;
  /// Start time in Unix milliseconds; 0 if not reported.
  std::int64_t StartedMillis = 0;

  /// \returns false only if the reports are known to come from different
  /// incarnations.
  bool sameIncarnation(const BackendReport &Other) const {
    const bool StartsKnown = StartedMillis != 0 && Other.StartedMillis != 0;
    return Id == Other.Id &&
           (!StartsKnown || StartedMillis == Other.StartedMillis);
  }
};

/// \class BackendDeparture
/// \brief A backend server that has announced that it leaves.
struct BackendDeparture {
  std::string Id;
  /// Start time in Unix milliseconds; 0 if not reported.
  std::int64_t StartedMillis = 0;

  bool operator==(const BackendDeparture &) const = default;
};

/// \class BackendProbe
/// \brief The answer of a backend server to a health check.
struct BackendProbe {
  bool Healthy = false;
  /// Empty if the answer contained no id.
  std::string Id;
  /// 0 if the answer contained no load report.
  std::uint32_t Slots = 0;
};

} // namespace camphorpin

#endif
