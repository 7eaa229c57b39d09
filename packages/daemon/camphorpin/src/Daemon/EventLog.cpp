#include "camphorpin/src/Daemon/EventLog.h"

#include "camphorpin/src/Daemon/LineAppender.h"

#include <algorithm>
#include <log4cxx/fileappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <memory>
#include <string_view>
#include <unistd.h>
#include <utility>

namespace camphorpin {

namespace {

constexpr const char *LoggerName = "camphorpin";
constexpr const char *Pattern = "%d{ISO8601} %p %m%n";

log4cxx::LevelPtr levelOf(LogSeverity Severity) {
  switch (Severity) {
  case LogSeverity::Debug:
    return log4cxx::Level::getDebug();
  case LogSeverity::Info:
    return log4cxx::Level::getInfo();
  case LogSeverity::Warning:
    return log4cxx::Level::getWarn();
  case LogSeverity::Error:
    return log4cxx::Level::getError();
  }
  return log4cxx::Level::getError();
}

/// Quotes a value that holds a space, so that fields can be told apart.
std::string quotedValue(std::string_view Value) {
  std::string Clean(Value);
  std::replace_if(
      Clean.begin(), Clean.end(),
      [](unsigned char C) { return C < ' ' || C == '"'; }, '\'');
  if (Clean.find(' ') == std::string::npos && !Clean.empty())
    return Clean;
  return "\"" + Clean + "\"";
}

} // namespace

EventLog::EventLog(const LoggingSettings &Settings, const Clock &Time,
                   std::uint32_t Limit)
    : Time(Time), Limit(Limit) {
  const log4cxx::LoggerPtr Logger = log4cxx::Logger::getLogger(LoggerName);
  const log4cxx::LayoutPtr Layout =
      std::make_shared<log4cxx::PatternLayout>(Pattern);
  Logger->removeAllAppenders();
  Logger->setAdditivity(false);
  if (Settings.File.empty()) {
    Console = std::make_shared<LineAppender>(Layout, STDOUT_FILENO);
    Logger->addAppender(Console);
  } else {
    Logger->addAppender(std::make_shared<log4cxx::FileAppender>(
        Layout, Settings.File, /*append=*/true));
  }
  setLevel(Settings.Level);
}

void EventLog::setLevel(const std::string &Level) {
  log4cxx::Logger::getLogger(LoggerName)
      ->setLevel(log4cxx::Level::toLevel(Level));
}

void EventLog::write(LogEvent Event, const LogFields &Fields) {
  const log4cxx::LoggerPtr Logger = log4cxx::Logger::getLogger(LoggerName);
  const log4cxx::LevelPtr Level = levelOf(logEventInfo(Event).Severity);
  std::uint32_t LeftOut = 0;
  if (!Logger->isEnabledFor(Level) || !admit(Event, LeftOut))
    return;
  Logger->forcedLog(Level, format(Event, Fields, LeftOut));
}

LogCounts EventLog::counts() const {
  LogCounts Result;
  if (Console) {
    Result.Written = Console->written();
    Result.Lost = Console->lost();
  }
  const std::lock_guard<std::mutex> Lock(Mutex);
  Result.LeftOut = TotalLeftOut;
  return Result;
}

std::string EventLog::format(LogEvent Event, const LogFields &Fields,
                             std::uint32_t LeftOut) {
  std::string Line =
      "event=" + std::to_string(static_cast<std::uint16_t>(Event));
  Line += " name=";
  Line += logEventInfo(Event).Name;
  for (const LogField &Field : Fields) {
    Line += " ";
    Line += Field.Name;
    Line += "=" + quotedValue(Field.Value);
  }
  if (LeftOut > 0)
    Line += " leftOut=" + std::to_string(LeftOut);
  return Line;
}

bool EventLog::admit(LogEvent Event, std::uint32_t &LeftOut) {
  const std::int64_t Second = Time.now().wholeMillis() / 1000;
  const std::lock_guard<std::mutex> Lock(Mutex);
  Rate &Entry = Rates[Event];
  if (Entry.Second != Second) {
    Entry.Second = Second;
    Entry.Written = 0;
  }
  if (Entry.Written >= Limit) {
    ++Entry.LeftOut;
    ++TotalLeftOut;
    return false;
  }
  ++Entry.Written;
  LeftOut = std::exchange(Entry.LeftOut, 0);
  return true;
}

} // namespace camphorpin
