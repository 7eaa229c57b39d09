#ifndef CAMPHORPIN_SRC_POLICY_POLICYLIMITS_H
#define CAMPHORPIN_SRC_POLICY_POLICYLIMITS_H

#include <cstdint>

namespace camphorpin::detail {

/// Largest number of hops. The target has chains of 11.
inline constexpr std::int64_t MaxHopsUpperBound = 64;
/// Largest number of extra attempts. Executions of the last service grow with
/// it, so a larger number defeats the bound.
inline constexpr std::int64_t MaxExtraAttempts = 16;
/// Retention of keys in ms: one second to seven days.
inline constexpr std::int64_t MinRetentionMs = 1000;
inline constexpr std::int64_t MaxRetentionMs = 7LL * 24 * 3600 * 1000;
/// Largest deadline in ms: one hour.
inline constexpr std::int64_t MaxDeadlineMs = 3600 * 1000;
/// Largest weight of a caller.
inline constexpr std::int64_t MaxCallerShare = 1000;
/// Largest number of slots, connections and queue places of a backend server.
inline constexpr std::int64_t MaxSlots = 100000;
/// Sums of shares may exceed 1 by this much, because 0.1 is not exact in
/// binary.
inline constexpr double ShareTolerance = 1e-9;

} // namespace camphorpin::detail

#endif
