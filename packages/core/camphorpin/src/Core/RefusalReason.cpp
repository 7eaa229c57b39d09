#include "camphorpin/src/Core/RefusalReason.h"

#include <array>
#include <cstddef>

namespace camphorpin {

namespace {

// In the order of the enumerators.
constexpr std::array<std::string_view, 19> Names = {
    "none",          "bad-request",  "key-required",   "overloaded",
    "shed",          "deadline",     "too-deep",       "no-backend",
    "draining",      "backend-shed", "backend-failed", "peer-failed",
    "home-changing", "log-silent",   "answer-expired", "key-expired",
    "crash-suspect", "cancelled",    "node-busy"};

static_assert(Names.size() ==
              static_cast<std::size_t>(RefusalReason::NodeBusy) + 1);

} // namespace

std::string_view toString(RefusalReason Value) {
  return Names.at(static_cast<std::size_t>(Value));
}

std::optional<RefusalReason> parseRefusalReason(std::string_view Text) {
  for (std::size_t Index = 0; Index < Names.size(); ++Index)
    if (Names.at(Index) == Text)
      return static_cast<RefusalReason>(Index);
  return std::nullopt;
}

} // namespace camphorpin
