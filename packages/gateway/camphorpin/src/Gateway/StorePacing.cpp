#include "camphorpin/src/Gateway/StorePacing.h"

#include <algorithm>

namespace camphorpin {

namespace {

/// How long the store holds a read of a feed open at most. Each costs a call.
constexpr Duration LongestRead = Duration::seconds(25);
/// A read may go silent without an error, and only its end shows it. The reads
/// of the configuration end as often in the whole fleet as one node's would
/// every 400 ms, so that one soon finds the store back and tells the others.
constexpr Duration ReadPerNode = Duration::millis(400);
constexpr Duration ShortestRead = Duration::seconds(4);
/// Random part of a read, because reads that began together must not end
/// together.
constexpr double ReadSpread = 0.3;
/// Much less than the time in which a change of the configuration must be in
/// force.
constexpr Duration ShortestPause = Duration::millis(400);
/// A restart of a fleet changes a record of every node. While hosts come and
/// go, their links tell whether they answer, so a record may come later.
constexpr Duration PausePerNode = Duration::millis(20);
constexpr Duration LongestPause = Duration::seconds(2);

} // namespace

Duration StorePacing::readSpan(StoreFeed Feed, std::size_t Nodes,
                               Random &Source) {
  if (Feed != StoreFeed::Configuration)
    return LongestRead;
  const Duration Fair = ReadPerNode * static_cast<double>(Nodes);
  const Duration Bounded = std::clamp(Fair, ShortestRead, LongestRead);
  return Bounded * (1 - ReadSpread * Source.unit());
}

Duration StorePacing::batchPause(StoreFeed Feed, std::size_t Nodes) {
  if (Feed != StoreFeed::Members)
    return ShortestPause;
  const Duration Fair = PausePerNode * static_cast<double>(Nodes);
  return std::clamp(Fair, ShortestPause, LongestPause);
}

} // namespace camphorpin
