#ifndef CAMPHORPIN_SRC_GATEWAY_PEERDEPARTURES_H
#define CAMPHORPIN_SRC_GATEWAY_PEERDEPARTURES_H

#include "camphorpin/src/Gateway/PeerMessages.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpin {

/// \class PeerDepartures
/// \brief Departures that other nodes have announced.
///
/// A node that has acknowledged a departure may be killed before the store has
/// the departure, or while the store is restored from an older copy. Its peers
/// tell it when it is back. They keep a departure until the server has ended.
class PeerDepartures {
public:
  /// Adds the departures of \p Notice to those that its node has announced.
  void record(const DepartureNotice &Notice, Instant Now);

  /// \returns the departures that \p Node has announced recently.
  std::vector<BackendDeparture> of(std::string_view Node, Instant Now) const;

  /// Drops departures of servers that have ended. Called periodically.
  void expire(Instant Now);

private:
  struct Entry {
    BackendDeparture Departure;
    Instant Announced;
  };

  /// By node; at most MaxPerNode entries each.
  std::map<std::string, std::vector<Entry>, std::less<>> Entries;
};

} // namespace camphorpin

#endif
