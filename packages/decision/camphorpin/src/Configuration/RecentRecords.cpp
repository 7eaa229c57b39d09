#include "camphorpin/src/Configuration/RecentRecords.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace camphorpin {

void RecentRecords::restart(std::uint64_t Offset) {
  Records.clear();
  Bytes = 0;
  Begin = Offset;
  End = Offset;
}

void RecentRecords::add(RawRecord Record) {
  assert(Record.Offset >= End && "records are added in log order");
  End = Record.Offset + 1;
  Bytes += Record.Body.size();
  Records.push_back(std::move(Record));
  while (Records.size() > MaxRecords || Bytes > MaxBytes) {
    Begin = Records.front().Offset + 1;
    Bytes -= Records.front().Body.size();
    Records.pop_front();
  }
}

void RecentRecords::advanceTo(std::uint64_t Offset) {
  End = std::max(End, Offset);
}

std::optional<RecordRange> RecentRecords::range(std::uint64_t From) const {
  if (From < Begin)
    return std::nullopt;
  RecordRange Range;
  Range.Next = std::max(From, End);
  std::size_t Size = 0;
  for (const RawRecord &Record : Records) {
    if (Record.Offset < From)
      continue;
    Size += Record.Body.size();
    if (Size > MaxReplyBytes && !Range.Records.empty()) {
      Range.Next = Record.Offset;
      break;
    }
    Range.Records.push_back(Record);
  }
  return Range;
}

} // namespace camphorpin
