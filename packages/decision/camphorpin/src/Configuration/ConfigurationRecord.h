#ifndef CAMPHORPIN_SRC_CONFIGURATION_CONFIGURATIONRECORD_H
#define CAMPHORPIN_SRC_CONFIGURATION_CONFIGURATIONRECORD_H

#include "camphorpin/Core.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace camphorpin {

/// \brief The largest record that is folded, in bytes.
inline constexpr std::size_t MaxRecordBytes = 256UL * 1024;
/// \brief The largest content of a policy document, in bytes.
inline constexpr std::size_t MaxPolicyBytes = 32UL * 1024;
/// \brief The largest content of a document homes/<service>, in bytes. It holds
/// 512 homes with their mirrors.
inline constexpr std::size_t MaxHomesBytes = 224UL * 1024;
/// \brief The number of accepted changes whose ids are kept for a document.
inline constexpr std::size_t MaxChangeIds = 16;

/// \class ChangeRecord
/// \brief Proposes new content for a document.
struct ChangeRecord {
  DocumentName Document;
  /// The version that the change was made for; 0 creates the document.
  std::uint64_t Base = 0;
  /// Identifies the change if its append is repeated; a valid name.
  std::string ChangeId;
  std::string Author;
  /// Canonical JSON.
  std::string Content;

  auto operator<=>(const ChangeRecord &) const = default;
};

/// \class RestateRecord
/// \brief Repeats the state of a document after all records before the offset
/// AsOf, so that a node can adopt the document after its changes have expired
/// from the log.
struct RestateRecord {
  DocumentName Document;
  /// At least 1.
  std::uint64_t Version = 1;
  /// The ids of the latest accepted changes, newest last.
  std::vector<std::string> ChangeIds;
  /// Canonical JSON.
  std::string Content;
  /// The restated state includes exactly the records before this offset.
  std::uint64_t AsOf = 0;
  /// The number of documents that exist at AsOf. A fold that knows as many
  /// documents knows all of them.
  std::uint64_t Documents = 1;

  auto operator<=>(const RestateRecord &) const = default;
};

/// \class EntryRecord
/// \brief Advertises a node as an entry point for joining nodes.
struct EntryRecord {
  HostAddress Address;
  std::uint64_t Incarnation = 0;
  ZoneName Zone;
  RegionName Region;

  auto operator<=>(const EntryRecord &) const = default;
};

/// \class UnknownRecord
/// \brief A well-formed record of an unknown type, which the fold ignores.
struct UnknownRecord {
  auto operator<=>(const UnknownRecord &) const = default;
};

using ConfigurationRecord =
    std::variant<ChangeRecord, RestateRecord, EntryRecord, UnknownRecord>;

/// \returns the record with this body, or nothing if it is malformed. Unknown
/// fields are ignored, so that nodes of different versions reach the same
/// state.
std::optional<ConfigurationRecord>
parseConfigurationRecord(std::string_view Body);

/// \returns the body of a record: JSON with a field "type".
std::string formatRecord(const ChangeRecord &Record);
std::string formatRecord(const RestateRecord &Record);
std::string formatRecord(const EntryRecord &Record);

/// \returns the largest content of this document, in bytes.
std::size_t maxContentBytes(const DocumentName &Document);

/// \returns a change id that is determined by the arguments, so that publishing
/// the same content on the same base again is detected as a duplicate.
std::string deriveChangeId(const DocumentName &Document, std::uint64_t Base,
                           std::string_view Content);

} // namespace camphorpin

#endif
