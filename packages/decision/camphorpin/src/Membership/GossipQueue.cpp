#include "camphorpin/src/Membership/GossipQueue.h"

namespace camphorpin {

void GossipQueue::add(const MemberRecord &Record, GossipPriority Priority,
                      std::size_t Transmissions) {
  const HostAddress Address = Record.Process.Address;
  const auto Found = Items.find(Address);
  if (Found != Items.end())
    Order.erase(positionOf(Found->second));
  const Item Added{Record, Priority, 0, Transmissions};
  Items.insert_or_assign(Address, Added);
  Order.insert(positionOf(Added));
}

std::vector<MemberRecord> GossipQueue::take(std::size_t Bytes) {
  std::vector<MemberRecord> Selected;
  for (const Position &Next : Order) {
    const MemberRecord &Record = Items.at(Next.Address).Record;
    if (Record.encodedSize() > Bytes)
      break;
    Bytes -= Record.encodedSize();
    Selected.push_back(Record);
  }
  for (const MemberRecord &Record : Selected) {
    Item &Sent = Items.at(Record.Process.Address);
    Order.erase(positionOf(Sent));
    ++Sent.Sent;
    if (Sent.Sent < Sent.Limit)
      Order.insert(positionOf(Sent));
    else
      Items.erase(Record.Process.Address);
  }
  return Selected;
}

GossipQueue::Position GossipQueue::positionOf(const Item &Value) {
  return Position{Value.Priority, Value.Sent, Value.Record.Process.Address};
}

} // namespace camphorpin
