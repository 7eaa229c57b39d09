#ifndef CAMPHORPIN_SRC_POLICY_POLICYLIMITS_H
#define CAMPHORPIN_SRC_POLICY_POLICYLIMITS_H

#include <cstdint>

namespace camphorpin::detail {

/// Upper bound of MeshPolicy::MaxHops, well above the design target of 11.
inline constexpr std::int64_t MaxHopsUpperBound = 64;
/// Upper bound of MeshPolicy::ExtraAttempts. The number of executions by the
/// last service of a chain grows with it, so a larger value would leave the
/// load of retries practically unbounded.
inline constexpr std::int64_t MaxExtraAttempts = 16;
/// Range of the key retention and of the log silence bound in ms: one second to
/// seven days.
inline constexpr std::int64_t MinRetentionMs = 1000;
inline constexpr std::int64_t MaxRetentionMs = 7LL * 24 * 3600 * 1000;
/// Largest deadline in ms: one hour.
inline constexpr std::int64_t MaxDeadlineMs = 3600 * 1000;
/// Largest weight of a caller.
inline constexpr std::int64_t MaxCallerShare = 1000;
/// Upper bound of the slots, connections and queue limit of a backend server.
inline constexpr std::int64_t MaxSlots = 100000;
/// Rounding tolerance for sums of shares, because fractions such as 0.1 have no
/// exact binary representation.
inline constexpr double ShareTolerance = 1e-9;

} // namespace camphorpin::detail

#endif
