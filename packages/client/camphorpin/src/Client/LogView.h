#ifndef CAMPHORPIN_SRC_CLIENT_LOGVIEW_H
#define CAMPHORPIN_SRC_CLIENT_LOGVIEW_H

#include "camphorpin/Configuration.h"
#include "camphorpin/LogClient.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace camphorpin {

/// \class HistoryEntry
/// \brief A change in the log and what came of it.
struct HistoryEntry {
  std::uint64_t Offset = 0;
  RecordOutcome Outcome;
  std::string Author;
};

/// \class LogView
/// \brief The configuration according to the retained records of the log.
class LogView {
public:
  static constexpr std::size_t ReadBatch = 256;
  /// Fewer records are read while replies are too large to be taken.
  static constexpr std::size_t MinReadBatch = 8;
  /// The newest changes are kept.
  static constexpr std::size_t MaxHistory = 20000;

  explicit LogView(PlatformLog &Log) : Log(Log) {}

  /// Reads to the end of the log.
  /// \returns the error if that failed.
  std::optional<LogReadError> refresh();

  /// \pre refresh() has succeeded once.
  const ConfigurationFold &fold() const;

  /// \returns the changes in the order of the log.
  const std::deque<HistoryEntry> &history() const { return History; }

private:
  void fold(const LogBatch &Batch);

  PlatformLog &Log;
  std::optional<ConfigurationFold> State;
  std::deque<HistoryEntry> History;
};

} // namespace camphorpin

#endif
