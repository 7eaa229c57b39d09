#ifndef CAMPHORPIN_SRC_GATEWAY_DEPARTURERECORD_H
#define CAMPHORPIN_SRC_GATEWAY_DEPARTURERECORD_H

#include "camphorpin/src/Gateway/BackendReport.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpin::detail {

/// \returns the departures as JSON.
std::string departuresToJson(std::span<const BackendDeparture> Departures);

/// \returns the readable departures in \p Json.
std::vector<BackendDeparture> parseDepartures(std::string_view Json);

} // namespace camphorpin::detail

#endif
