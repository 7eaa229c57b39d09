#include "camphorpin/src/Daemon/JsonNumbers.h"

#include <nlohmann/json.hpp>

namespace camphorpin::detail {

std::optional<std::uint64_t> wholeNumber(const nlohmann::json &Value,
                                         std::uint64_t Max) {
  if (!Value.is_number_unsigned())
    return std::nullopt;
  const std::uint64_t Result = Value.get<std::uint64_t>();
  if (Result > Max)
    return std::nullopt;
  return Result;
}

std::optional<Duration> millis(const nlohmann::json &Value, Duration Max) {
  if (!Value.is_number())
    return std::nullopt;
  const double Result = Value.get<double>();
  // Written so that a value that is not a number is rejected as well.
  if (!(Result >= 0 && Result <= Max.toMillis()))
    return std::nullopt;
  return Duration::fromMillis(Result);
}

} // namespace camphorpin::detail
