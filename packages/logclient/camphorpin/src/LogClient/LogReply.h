#ifndef CAMPHORPIN_SRC_LOGCLIENT_LOGREPLY_H
#define CAMPHORPIN_SRC_LOGCLIENT_LOGREPLY_H

#include "camphorpin/src/LogClient/PlatformLog.h"

#include <optional>
#include <string_view>

namespace camphorpin::detail {

/// \returns the offset in the reply to an append, or nothing if the reply is
/// malformed.
std::optional<LogOffset> parseAppendReply(std::string_view Json);

/// Parses the reply to a read. Validates the types, the number and order of the
/// records, and that their offsets lie between the requested one and the next.
/// Whether the next offset moves the reader back is left to the caller.
/// \param From the requested offset.
/// \param Max the requested number of records.
/// \returns the records, or nothing if the reply is malformed.
std::optional<LogBatch> parseReadReply(std::string_view Json, LogOffset From,
                                       std::size_t Max);

} // namespace camphorpin::detail

#endif
