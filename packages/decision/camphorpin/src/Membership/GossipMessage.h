#ifndef CAMPHORPIN_SRC_MEMBERSHIP_GOSSIPMESSAGE_H
#define CAMPHORPIN_SRC_MEMBERSHIP_GOSSIPMESSAGE_H

#include "camphorpin/src/Membership/MemberRecord.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace camphorpin {

/// \brief The type of a datagram between nodes.
enum class GossipKind : std::uint8_t {
  /// Requests an acknowledgement.
  Probe,
  /// Acknowledges a probe, or forwards the acknowledgement of an indirect
  /// probe.
  Ack,
  /// Asks the receiver to probe Target on behalf of the sender.
  ProbeRequest,
  /// Carries urgent deltas; not acknowledged.
  Push,
  /// Requests the digests of the receiver's table.
  SyncRequest,
  /// Carries the digests of the sender's table.
  SyncDigest,
  /// Requests the members of the listed buckets.
  SyncPull,
  /// Carries members of requested buckets.
  SyncRecords,
};

/// \class LogReading
/// \brief Up to which offset, and as of when, a node has read the platform's
/// log. All gossip carries it, so that nodes that do not poll learn of new
/// records and of how recent their own state is.
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
  /// The member that is to be probed (ProbeRequest), or whose acknowledgement
  /// this is (Ack).
  HostAddress Target;
  LogReading Reading;
  std::vector<MemberRecord> Deltas;
  /// Availability zones that the sender found unreachable.
  std::vector<ZoneName> UnreachableZones;
  /// SyncDigest: one digest per bucket.
  std::vector<std::uint32_t> Digests;
  /// SyncPull: the requested buckets.
  std::vector<std::uint16_t> Buckets;

  /// \returns the approximate size in bytes on the wire, with the headers of
  /// IP and UDP.
  std::size_t encodedSize() const;
};

} // namespace camphorpin

#endif
