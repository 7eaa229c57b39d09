#include "camphorpin/src/Client/LogView.h"

#include <boost/leaf/handle_errors.hpp>
#include <cassert>
#include <utility>

namespace camphorpin {

namespace {

/// \returns the batch, or nothing and the error in \p Error.
std::optional<LogBatch> readBatch(PlatformLog &Log, LogOffset From,
                                  std::size_t Max,
                                  std::optional<LogReadError> &Error) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<LogBatch>> {
        BOOST_LEAF_AUTO(Batch, Log.read(From, Max));
        return std::optional<LogBatch>(std::move(Batch));
      },
      [&Error](const LogReadError &Found) {
        Error = Found;
        return std::optional<LogBatch>();
      },
      [&Error] {
        Error = LogReadError{LogReadError::Cause::Unavailable, "no reply"};
        return std::optional<LogBatch>();
      });
}

} // namespace

std::optional<LogReadError> LogView::refresh() {
  std::size_t Max = ReadBatch;
  while (true) {
    std::optional<LogReadError> Error;
    const std::optional<LogBatch> Batch =
        readBatch(Log, State ? State->nextOffset() : 0, Max, Error);
    if (!Batch && Error->Reason == LogReadError::Cause::Malformed &&
        Max > MinReadBatch) {
      Max /= 2;
      continue;
    }
    if (!Batch)
      return Error;
    const bool AtEnd = Batch->Records.size() < Max;
    fold(*Batch);
    if (AtEnd)
      break;
  }
  State->noteRetainedLogRead();
  return std::nullopt;
}

const ConfigurationFold &LogView::fold() const {
  assert(State && "the log was read");
  return *State;
}

void LogView::fold(const LogBatch &Batch) {
  if (!State)
    State.emplace(Batch.FirstRetained);
  State->skipTo(Batch.FirstRetained);
  for (const LogRecord &Record : Batch.Records) {
    const std::optional<ConfigurationRecord> Parsed =
        parseConfigurationRecord(Record.Body);
    const RecordOutcome Outcome = State->apply(Record.Offset, Record.Body);
    if (!Parsed || !std::holds_alternative<ChangeRecord>(*Parsed))
      continue;
    History.push_back(
        {Record.Offset, Outcome, std::get<ChangeRecord>(*Parsed).Author});
    if (History.size() > MaxHistory)
      History.pop_front();
  }
  State->advanceTo(Batch.Next);
}

} // namespace camphorpin
