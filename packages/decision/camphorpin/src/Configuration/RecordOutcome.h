#ifndef CAMPHORPIN_SRC_CONFIGURATION_RECORDOUTCOME_H
#define CAMPHORPIN_SRC_CONFIGURATION_RECORDOUTCOME_H

#include "camphorpin/src/Configuration/ConfigurationRecord.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorpin {

/// \brief What the fold made of a record.
enum class OutcomeKind : std::uint8_t {
  /// The change is in force.
  Accepted,
  /// The change was accepted before; its append was repeated.
  Duplicate,
  /// The change was made for another version than the one in force.
  Conflict,
  /// The record is malformed, too large, or exceeds a limit.
  Invalid,
  /// The record changes nothing: another type, an offset that was folded
  /// before, or a restate of a document that is known.
  Ignored,
  /// The reader started late and does not know the version in force yet. The
  /// change is kept until the document is restated.
  UnknownBase,
  /// The reader took the document up from a restate.
  Restated,
  /// The record names a node to join through.
  Entry,
};

/// \returns for example "accepted".
std::string_view toString(OutcomeKind Value);

/// \class RecordOutcome
/// \brief What the fold made of a record, for reports to operators.
struct RecordOutcome {
  OutcomeKind Kind = OutcomeKind::Ignored;
  DocumentName Document;
  /// The version that the change was made for.
  std::uint64_t Base = 0;
  /// The version in force after the record.
  std::uint64_t InForce = 0;
  std::string ChangeId;
  /// The record restates the document later than the restate before it.
  bool IsRestate = false;
  /// The record, if it is an entry.
  std::optional<EntryRecord> Entry;
};

} // namespace camphorpin

#endif
