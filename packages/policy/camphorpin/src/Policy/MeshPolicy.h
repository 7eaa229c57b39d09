#ifndef CAMPHORPIN_SRC_POLICY_MESHPOLICY_H
#define CAMPHORPIN_SRC_POLICY_MESHPOLICY_H

#include "camphorpin/Core.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace camphorpin {

/// \class RankPolicy
/// \brief The share of a backend server's concurrency limit for one rank.
struct RankPolicy {
  std::string Name;
  /// Share of the limit that is reserved for this rank while it has requests,
  /// in [0, 1].
  double Floor = 0;
  /// Largest share of the limit that this rank may use, in (0, 1].
  double Cap = 1;
};

/// \class MeshPolicy
/// \brief The document "mesh": settings that apply to all services.
struct MeshPolicy {
  /// At most MaxRanks ranks, the most urgent first.
  std::vector<RankPolicy> Ranks;
  /// Largest number of calls in a chain, including the call of the external
  /// caller.
  std::uint8_t MaxHops = 11;
  /// Retry budget of an end-to-end request: the number of attempts beyond the
  /// first.
  std::uint8_t ExtraAttempts = 3;
  /// Largest ratio of retries to first attempts from one service to another, in
  /// [0, 1].
  double RetryRatio = 0.1;
  /// How long a node stores keys, and the largest age of a key whose request
  /// may run.
  Duration KeyRetention = Duration::seconds(3600);
  /// Largest age of a home's view of the log at which it still runs
  /// non-idempotent requests. A takeover without the home and its mirror has to
  /// wait as long.
  Duration LogSilenceBound = Duration::seconds(12 * 3600);
  /// Weights of callers within a rank. The default weight is 1.
  std::map<CallerName, std::uint32_t> CallerShares;
};

} // namespace camphorpin

#endif
