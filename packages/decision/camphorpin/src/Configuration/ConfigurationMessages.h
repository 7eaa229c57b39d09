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
/// \brief A record of the log as nodes pass it on.
struct RawRecord {
  std::uint64_t Offset = 0;
  std::string Body;

  auto operator<=>(const RawRecord &) const = default;
};

/// \class RecordRange
/// \brief All records from a requested offset up to, but without, Next.
struct RecordRange {
  std::uint64_t Next = 0;
  /// In ascending order of offset.
  std::vector<RawRecord> Records;
};

/// \class RecordsRequest
/// \brief Asks a node for the records from an offset on.
struct RecordsRequest {
  std::uint64_t From = 0;
};

/// \class RecordsReply
/// \brief Answers a RecordsRequest.
struct RecordsReply {
  /// Nothing if the sender does not hold all records from the offset on.
  std::optional<RecordRange> Range;
  /// The reading of the sender.
  LogReading Reading;
};

/// \class SnapshotRequest
/// \brief Asks a node for the state of its fold.
struct SnapshotRequest {};

/// \class SnapshotReply
/// \brief Gives a new node the state of the fold.
struct SnapshotReply {
  /// Nothing if the sender does not know the state for certain.
  std::optional<FoldSnapshot> Snapshot;
  std::vector<DocumentAge> Ages;
  LogReading Reading;
};

/// \class DigestRequest
/// \brief Asks for the digest of the fold at an offset.
struct DigestRequest {
  std::uint64_t Offset = 0;
};

/// \class DigestReply
/// \brief Answers a DigestRequest.
struct DigestReply {
  std::uint64_t Offset = 0;
  /// Nothing if the sender has not read that far, or it is too long ago.
  std::optional<std::uint64_t> Digest;
};

/// \brief Any message of this module. Each may be lost; its sender asks again.
using ConfigurationMessage =
    std::variant<RecordsRequest, RecordsReply, SnapshotRequest, SnapshotReply,
                 DigestRequest, DigestReply>;

/// \class LogReadResult
/// \brief What one read of the platform's log gave.
struct LogReadResult {
  /// The oldest offset that the log still keeps.
  std::uint64_t FirstRetained = 0;
  /// Where the next read continues.
  std::uint64_t Next = 0;
  std::vector<RawRecord> Records;
};

} // namespace camphorpin

#endif
