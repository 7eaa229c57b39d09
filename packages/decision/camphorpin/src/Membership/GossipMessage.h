#ifndef CAMPHORPIN_SRC_MEMBERSHIP_GOSSIPMESSAGE_H
#define CAMPHORPIN_SRC_MEMBERSHIP_GOSSIPMESSAGE_H

#include "camphorpin/src/Membership/MemberRecord.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace camphorpin {

/// \brief What a datagram between nodes asks for or brings.
enum class GossipKind : std::uint8_t {
  /// Asks the receiver to acknowledge.
  Probe,
  /// Answers a probe, or forwards the answer of an indirect probe.
  Ack,
  /// Asks the receiver to probe Target on behalf of the sender.
  ProbeRequest,
  /// Brings urgent deltas and wants no answer.
  Push,
  /// Asks for the digests of the receiver's table.
  SyncRequest,
  /// Brings the digests of the sender's table.
  SyncDigest,
  /// Asks for the members of the listed buckets.
  SyncPull,
  /// Brings members of pulled buckets.
  SyncRecords,
};

/// \class LogReading
/// \brief How far, and how long ago, a node knows the platform's log. It rides
/// on all gossip, so that news and freshness reach nodes that do not poll.
struct LogReading {
  /// Offset after the last record that the sender has folded.
  std::uint64_t NextOffset = 0;
  /// Age of the reading in ms; NoReading if the sender has none.
  std::uint32_t AgeMs = NoReading;

  static constexpr std::uint32_t NoReading = 0xFFFFFFFF;
};

/// \class GossipMessage
/// \brief One datagram of the membership protocol.
struct GossipMessage {
  GossipKind Kind = GossipKind::Push;
  ProcessId Sender;
  /// Matches an acknowledgement with its probe.
  std::uint64_t Sequence = 0;
  /// The member that a ProbeRequest is about, or that an Ack speaks for.
  HostAddress Target;
  LogReading Reading;
  std::vector<MemberRecord> Deltas;
  /// Availability zones that the sender found unreachable.
  std::vector<ZoneName> UnreachableZones;
  /// SyncDigest: one digest per bucket.
  std::vector<std::uint32_t> Digests;
  /// SyncPull: the wanted buckets.
  std::vector<std::uint16_t> Buckets;

  /// \returns the approximate size in bytes on the wire, with the headers of
  /// IP and UDP.
  std::size_t encodedSize() const;
};

} // namespace camphorpin

#endif
