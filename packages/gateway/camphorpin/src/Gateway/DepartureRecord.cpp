#include "camphorpin/src/Gateway/DepartureRecord.h"

#include "camphorpin/src/Daemon/JsonNumbers.h"

#include <limits>
#include <nlohmann/json.hpp>

namespace camphorpin::detail {

std::string departuresToJson(std::span<const BackendDeparture> Departures) {
  nlohmann::json Result = nlohmann::json::array();
  for (const BackendDeparture &Item : Departures)
    Result.push_back({{"id", Item.Id}, {"started", Item.StartedMillis}});
  // An id may come from a path and hold any bytes.
  return Result.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::vector<BackendDeparture> parseDepartures(std::string_view Json) {
  const nlohmann::json Root =
      nlohmann::json::parse(Json, nullptr, /*allow_exceptions=*/false);
  std::vector<BackendDeparture> Result;
  if (!Root.is_array())
    return Result;
  for (const nlohmann::json &Item : Root) {
    if (!Item.is_object() || !Item.contains("id") ||
        !Item.at("id").is_string() || !Item.contains("started"))
      continue;
    const std::optional<std::uint64_t> Started = wholeNumber(
        Item.at("started"),
        static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()));
    if (Started)
      Result.push_back({Item.at("id").get<std::string>(),
                        static_cast<std::int64_t>(*Started)});
  }
  return Result;
}

} // namespace camphorpin::detail
