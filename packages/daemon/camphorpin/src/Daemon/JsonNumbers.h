#ifndef CAMPHORPIN_SRC_DAEMON_JSONNUMBERS_H
#define CAMPHORPIN_SRC_DAEMON_JSONNUMBERS_H

#include "camphorpin/Core.h"

#include <concepts>
#include <cstdint>
#include <limits>
#include <nlohmann/json_fwd.hpp>
#include <optional>

namespace camphorpin::detail {

/// \returns the number in \p Value, or nothing unless it is a whole number from
/// 0 to \p Max. Fractions are rejected, even 1.0.
std::optional<std::uint64_t> wholeNumber(const nlohmann::json &Value,
                                         std::uint64_t Max);

/// \returns the number in \p Value, or nothing unless it is a whole number that
/// \p Number can represent and not negative.
template <std::unsigned_integral Number>
std::optional<Number> wholeNumber(const nlohmann::json &Value) {
  const std::optional<std::uint64_t> Result =
      wholeNumber(Value, std::numeric_limits<Number>::max());
  if (!Result)
    return std::nullopt;
  return static_cast<Number>(*Result);
}

/// \returns the duration in \p Value, a number of milliseconds that may have
/// fractions, or nothing unless it lies between 0 and \p Max.
std::optional<Duration> millis(const nlohmann::json &Value, Duration Max);

} // namespace camphorpin::detail

#endif
