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
/// \brief The latest records of the log without gaps, from which a node serves
/// others. Holds at most MaxRecords and MaxBytes.
class RecentRecords {
public:
  static constexpr std::size_t MaxRecords = 256;
  static constexpr std::size_t MaxBytes = 1024UL * 1024;
  /// Bounds one reply.
  static constexpr std::size_t MaxReplyBytes = 256UL * 1024;

  /// Forgets all records and starts at \p Offset.
  void restart(std::uint64_t Offset);

  /// Adds a record after all others. The oldest ones give way.
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
