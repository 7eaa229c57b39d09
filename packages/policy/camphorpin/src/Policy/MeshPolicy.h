#ifndef CAMPHORPIN_SRC_POLICY_MESHPOLICY_H
#define CAMPHORPIN_SRC_POLICY_MESHPOLICY_H

#include "camphorpin/Core.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace camphorpin {

/// \class RankPolicy
/// \brief What one rank may take of a backend server's concurrency limit.
struct RankPolicy {
  std::string Name;
  /// Share of the limit that is kept for this rank while it has work, in [0,
  /// 1].
  double Floor = 0;
  /// Largest share of the limit that this rank may hold, in (0, 1].
  double Cap = 1;
};

/// \class MeshPolicy
/// \brief The document "mesh": rules for all services.
struct MeshPolicy {
  /// The most urgent rank first, at most MaxRanks.
  std::vector<RankPolicy> Ranks;
  /// How many calls deep a request may travel.
  std::uint8_t MaxHops = 11;
  /// Extra attempts for one whole request.
  std::uint8_t ExtraAttempts = 3;
  /// Retries per first attempt on one edge, in [0, 1].
  double RetryRatio = 0.1;
  /// How long a node remembers keys, and the largest age of a key that may run.
  Duration KeyRetention = Duration::seconds(3600);
  /// Largest age of the log reading of a home that runs non-idempotent work,
  /// and so the wait before a takeover without the home and its mirror.
  Duration LogSilenceBound = Duration::seconds(12 * 3600);
  /// Weights of callers within a rank; a caller that is not listed weighs 1.
  std::map<CallerName, std::uint32_t> CallerShares;
};

} // namespace camphorpin

#endif
