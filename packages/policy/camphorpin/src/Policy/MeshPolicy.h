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
  /// The home of a key stops running non-idempotent requests when its last
  /// successful read of the platform's log is older than this. If neither the
  /// home nor its replica can be reached, another node waits this long before
  /// it takes over the key.
  Duration LogSilenceBound = Duration::seconds(12 * 3600);
  /// Weights of callers within a rank. The default weight is 1.
  std::map<CallerName, std::uint32_t> CallerShares;
};

} // namespace camphorpin

#endif
