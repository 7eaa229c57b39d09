#include "camphorpin/src/Daemon/LogThreads.h"

#include <optional>
#include <utility>

namespace camphorpin {

namespace {

/// The engine has one read under way at a time.
constexpr std::size_t MaxWaitingReads = 4;
constexpr std::size_t MaxWaitingAppends = 64;
constexpr Duration PopTimeout = Duration::seconds(1);

LogReadResult toPage(LogBatch &&Batch) {
  LogReadResult Page{.FirstRetained = Batch.FirstRetained, .Next = Batch.Next};
  for (LogRecord &Record : Batch.Records)
    Page.Records.push_back({Record.Offset, std::move(Record.Body)});
  return Page;
}

} // namespace

LogThreads::LogThreads(const HostAddress &Address, EventQueue &Events,
                       EventLog &Log)
    : Settings(settingsFor(Address)), Events(Events), Log(Log),
      Reads(MaxWaitingReads), Appends(MaxWaitingAppends) {}

LogThreads::~LogThreads() { stop(); }

HttpLogSettings LogThreads::settingsFor(const HostAddress &Address) {
  HttpLogSettings Result;
  Result.Address = Address;
  return Result;
}

void LogThreads::start() {
  Reader = std::thread([this] { readAll(); });
  Appender = std::thread([this] { appendAll(); });
}

void LogThreads::stop() {
  Reads.close();
  Appends.close();
  if (Reader.joinable())
    Reader.join();
  if (Appender.joinable())
    Appender.join();
}

void LogThreads::readAll() {
  HttpPlatformLog Platform(Settings);
  while (true) {
    const std::optional<LogRead> Request = Reads.pop(PopTimeout);
    if (!Request && Reads.closed())
      return;
    if (!Request)
      continue;
    boost::leaf::result<LogBatch> Batch =
        Platform.read(Request->From, Request->Max);
    if (Batch)
      Events.complete(LogPageRead{toPage(std::move(*Batch))});
    else
      Events.complete(LogReadFailed{});
  }
}

void LogThreads::appendAll() {
  HttpPlatformLog Platform(Settings);
  while (true) {
    const std::optional<std::string> Record = Appends.pop(PopTimeout);
    if (!Record && Appends.closed())
      return;
    if (!Record)
      continue;
    const AppendOutcome Outcome = Platform.append(*Record);
    if (Outcome.Status != AppendStatus::Accepted)
      Log.write(LogEvent::AppendFailed, {{"detail", Outcome.Detail}});
  }
}

} // namespace camphorpin
