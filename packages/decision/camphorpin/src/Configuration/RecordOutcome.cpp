#include "camphorpin/src/Configuration/RecordOutcome.h"

#include <array>
#include <cstddef>

namespace camphorpin {

namespace {

// In the order of the enumerators.
constexpr std::array<std::string_view, 8> Names = {
    "accepted", "duplicate",    "conflict", "invalid",
    "ignored",  "unknown-base", "restated", "entry"};

static_assert(Names.size() == static_cast<std::size_t>(OutcomeKind::Entry) + 1);

} // namespace

std::string_view toString(OutcomeKind Value) {
  return Names.at(static_cast<std::size_t>(Value));
}

} // namespace camphorpin
