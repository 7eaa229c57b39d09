#include "camphorpin/src/Gateway/StoreEra.h"

namespace camphorpin {

namespace {

/// Announcements of an era that the store does not confirm cost at most one
/// call in this time.
constexpr Duration MinAskInterval = Duration::seconds(1);

} // namespace

bool StoreEra::onAnswer(std::uint64_t Era) {
  if (Era <= Latest)
    return false;
  Latest = Era;
  return true;
}

bool StoreEra::onAnnouncement(std::uint64_t Era, Instant Now) {
  if (Era <= Latest || (LastAsked && Now - *LastAsked < MinAskInterval))
    return false;
  LastAsked = Now;
  return true;
}

} // namespace camphorpin
