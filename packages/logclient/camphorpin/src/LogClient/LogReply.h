#ifndef CAMPHORPIN_SRC_LOGCLIENT_LOGREPLY_H
#define CAMPHORPIN_SRC_LOGCLIENT_LOGREPLY_H

#include "camphorpin/src/LogClient/PlatformLog.h"

#include <optional>
#include <string_view>

namespace camphorpin::detail {

/// \returns the offset in the reply to an append, or nothing if the reply does
/// not follow the protocol.
std::optional<LogOffset> parseAppendReply(std::string_view Json);

/// Checks the reply to a read as a whole: types, number and order of records,
/// and that the offsets fit the request, so that a faulty reply can neither
/// move a reader back nor make it skip retained records.
/// \param From the offset that was asked for.
/// \param Max the number of records that was asked for.
/// \returns nothing if the reply breaks the protocol.
std::optional<LogBatch> parseReadReply(std::string_view Json, LogOffset From,
                                       std::size_t Max);

} // namespace camphorpin::detail

#endif
