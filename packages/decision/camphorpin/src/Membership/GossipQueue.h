#ifndef CAMPHORPIN_SRC_MEMBERSHIP_GOSSIPQUEUE_H
#define CAMPHORPIN_SRC_MEMBERSHIP_GOSSIPQUEUE_H

#include "camphorpin/src/Membership/MemberRecord.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <set>
#include <unordered_map>
#include <vector>

namespace camphorpin {

/// \brief The order in which deltas are sent.
enum class GossipPriority : std::uint8_t {
  /// Leaving notices and refutations.
  Urgent,
  /// Members of services that this node calls.
  Called,
  Other,
};

/// \class GossipQueue
/// \brief The deltas that a node still has to disseminate, at most one per
/// address.
class GossipQueue {
public:
  /// Puts \p Record into the queue and replaces an older delta of its address.
  /// \param Transmissions how often it is to be sent.
  void add(const MemberRecord &Record, GossipPriority Priority,
           std::size_t Transmissions);

  /// \param Bytes the budget for the encoded deltas.
  /// \returns the next deltas, by priority and then by the fewest
  /// transmissions.
  std::vector<MemberRecord> take(std::size_t Bytes);

  std::size_t size() const { return Items.size(); }

private:
  struct Item {
    MemberRecord Record;
    GossipPriority Priority;
    std::size_t Sent;
    std::size_t Limit;
  };
  struct Position {
    GossipPriority Priority;
    std::size_t Sent;
    HostAddress Address;

    auto operator<=>(const Position &) const = default;
  };

  static Position positionOf(const Item &Value);

  std::unordered_map<HostAddress, Item> Items;
  std::set<Position> Order;
};

} // namespace camphorpin

#endif
