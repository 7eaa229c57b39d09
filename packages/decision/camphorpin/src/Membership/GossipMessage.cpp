#include "camphorpin/src/Membership/GossipMessage.h"

namespace camphorpin {

namespace {

constexpr std::size_t IpAndUdpHeaderBytes = 28;
// Kind, sender, sequence, target, reading and the pointers to the lists.
constexpr std::size_t FixedEncodedBytes = 72;

} // namespace

std::size_t GossipMessage::encodedSize() const {
  std::size_t Bytes = IpAndUdpHeaderBytes + FixedEncodedBytes;
  for (const MemberRecord &Delta : Deltas)
    Bytes += Delta.encodedSize();
  for (const ZoneName &Zone : UnreachableZones)
    Bytes += Zone.view().size();
  Bytes += Digests.size() * sizeof(Digests[0]);
  Bytes += Buckets.size() * sizeof(Buckets[0]);
  return Bytes;
}

} // namespace camphorpin
