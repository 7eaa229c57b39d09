#ifndef CAMPHORPIN_SRC_CONFIGURATION_RECORDOUTCOME_H
#define CAMPHORPIN_SRC_CONFIGURATION_RECORDOUTCOME_H

#include "camphorpin/src/Configuration/ConfigurationRecord.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorpin {

/// \brief The kinds of results of folding a record.
enum class OutcomeKind : std::uint8_t {
  /// The change is in force.
  Accepted,
  /// The change was accepted before; its append was repeated.
  Duplicate,
  /// The base of the change is not the version in force.
  Conflict,
  /// The record is malformed, too large, or exceeds a limit.
  Invalid,
  /// The record changes nothing: another type, an offset that was folded
  /// before, a restate of a document that is known, or one of an unknown
  /// document that does not cover all missed records or has a lower version
  /// than the one in force.
  Ignored,
  /// The fold started late or has missed records, and does not know the version
  /// in force yet. The change is buffered until the document is restated.
  UnknownBase,
  /// The fold adopted the document from a restate.
  Restated,
  /// The record advertises an entry point.
  Entry,
};

/// \returns for example "accepted".
std::string_view toString(OutcomeKind Value);

/// \class RecordOutcome
/// \brief The result of folding a record, for reports to operators.
struct RecordOutcome {
  OutcomeKind Kind = OutcomeKind::Ignored;
  DocumentName Document;
  /// The version that the change was made for.
  std::uint64_t Base = 0;
  /// The version in force after the record.
  std::uint64_t InForce = 0;
  std::string ChangeId;
  /// The record restarts the restate timer of the document: it is a restate by
  /// a node that had read the previous one. Other restates may be outdated and
  /// must not postpone the next one.
  bool RestartsRestateTimer = false;
  /// The record, if it is an entry.
  std::optional<EntryRecord> Entry;
};

} // namespace camphorpin

#endif
