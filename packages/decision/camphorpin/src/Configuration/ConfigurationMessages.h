#ifndef CAMPHORPIN_SRC_CONFIGURATION_CONFIGURATIONMESSAGES_H
#define CAMPHORPIN_SRC_CONFIGURATION_CONFIGURATIONMESSAGES_H

#include "camphorpin/src/Configuration/FoldSnapshot.h"
#include "camphorpin/src/Configuration/RestateScheduler.h"
#include "camphorpin/src/Membership/GossipMessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace camphorpin {

/// \class RawRecord
/// \brief An unparsed record of the log.
struct RawRecord {
  std::uint64_t Offset = 0;
  std::string Body;

  auto operator<=>(const RawRecord &) const = default;
};

/// \class RecordRange
/// \brief All records from a requested offset up to, but not including, Next.
struct RecordRange {
  std::uint64_t Next = 0;
  /// In ascending order of offset.
  std::vector<RawRecord> Records;
};

/// \class RecordsRequest
/// \brief Requests the records from an offset on.
struct RecordsRequest {
  std::uint64_t From = 0;
};

/// \class RecordsReply
/// \brief Reply to a RecordsRequest.
struct RecordsReply {
  /// Nothing if the sender does not hold all records from the offset on.
  std::optional<RecordRange> Range;
  /// The sender's reading of the log.
  LogReading Reading;
};

/// \class SnapshotRequest
/// \brief Requests the state of a node's fold.
struct SnapshotRequest {};

/// \class SnapshotReply
/// \brief Reply to a SnapshotRequest.
struct SnapshotReply {
  /// Nothing if the sender has not joined or its fold is not resolved.
  std::optional<FoldSnapshot> Snapshot;
  std::vector<DocumentAge> Ages;
  LogReading Reading;
};

/// \class DigestRequest
/// \brief Requests the digest of a node's fold at an offset.
struct DigestRequest {
  std::uint64_t Offset = 0;
};

/// \class DigestReply
/// \brief Reply to a DigestRequest.
struct DigestReply {
  std::uint64_t Offset = 0;
  /// Nothing if the sender has not read that far, or no longer has the digest.
  std::optional<std::uint64_t> Digest;
};

/// \brief Any message of this module. Messages may be lost; requests are
/// repeated.
using ConfigurationMessage =
    std::variant<RecordsRequest, RecordsReply, SnapshotRequest, SnapshotReply,
                 DigestRequest, DigestReply>;

/// \class LogReadResult
/// \brief Result of one read of the platform's log.
struct LogReadResult {
  /// The oldest offset that the log retains.
  std::uint64_t FirstRetained = 0;
  /// The offset at which the next read continues.
  std::uint64_t Next = 0;
  std::vector<RawRecord> Records;
};

} // namespace camphorpin

#endif
