#ifndef CAMPHORPIN_SRC_ENGINE_LOGPAGE_H
#define CAMPHORPIN_SRC_ENGINE_LOGPAGE_H

#include <cstdint>
#include <string>
#include <vector>

namespace camphorpin {

/// \class LogPageRecord
/// \brief A record of the platform's log.
struct LogPageRecord {
  std::uint64_t Offset = 0;
  std::string Body;
};

/// \class LogPage
/// \brief What one read of the platform's log gave.
struct LogPage {
  /// The oldest offset that the log still keeps.
  std::uint64_t FirstRetained = 0;
  /// Where the next read continues.
  std::uint64_t Next = 0;
  /// In ascending order of offset.
  std::vector<LogPageRecord> Records;
};

} // namespace camphorpin

#endif
