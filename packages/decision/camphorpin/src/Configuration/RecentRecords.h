#ifndef CAMPHORPIN_SRC_CONFIGURATION_RECENTRECORDS_H
#define CAMPHORPIN_SRC_CONFIGURATION_RECENTRECORDS_H

#include "camphorpin/src/Configuration/ConfigurationMessages.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace camphorpin {

/// \class RecentRecords
/// \brief A contiguous range of the latest records of the log, from which a
/// node serves its peers. Bounded by MaxRecords and MaxBytes.
class RecentRecords {
public:
  static constexpr std::size_t MaxRecords = 256;
  static constexpr std::size_t MaxBytes = 1024UL * 1024;
  /// Bound of the records in one reply, unless a single record is larger.
  static constexpr std::size_t MaxReplyBytes = 256UL * 1024;

  /// Discards all records and starts at \p Offset.
  void restart(std::uint64_t Offset);

  /// Appends a record and evicts the oldest ones while a bound is exceeded.
  void add(RawRecord Record);

  /// Notes that there are no further records before \p Offset.
  void advanceTo(std::uint64_t Offset);

  /// \returns the records from \p From on, as many as fit in one reply, or
  /// nothing if some of them are no longer held.
  std::optional<RecordRange> range(std::uint64_t From) const;

private:
  std::deque<RawRecord> Records;
  /// All records in [Begin, End) are held.
  std::uint64_t Begin = 0;
  std::uint64_t End = 0;
  std::size_t Bytes = 0;
};

} // namespace camphorpin

#endif
