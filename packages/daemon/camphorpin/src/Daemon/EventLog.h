#ifndef CAMPHORPIN_SRC_DAEMON_EVENTLOG_H
#define CAMPHORPIN_SRC_DAEMON_EVENTLOG_H

#include "camphorpin/Core.h"
#include "camphorpin/Engine.h"
#include "camphorpin/src/Daemon/Settings.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace camphorpin {

class LineAppender;

/// \class LogCounts
/// \brief What became of the log lines of a process.
struct LogCounts {
  /// Written to the standard output.
  std::uint64_t Written = 0;
  /// Not written, because their event had its lines of that second.
  std::uint64_t LeftOut = 0;
  /// Lost, because the reader of the standard output was slow or gone.
  std::uint64_t Lost = 0;
};

/// \class EventLog
/// \brief Writes numbered events through log4cxx, from any thread.
///
/// A line is for example
/// \code
/// 2026-12-04 06:00:00,000 WARN event=202 name=connection-replaced
///   peer=127.0.0.1:7001 calls=3
/// \endcode
/// (on one line). Of one event at most MaxPerSecond lines are written each
/// second, so that a storm of failures does not become a storm of writes; the
/// next line says how many were left out. Writing to the standard output never
/// waits for its reader (LineAppender).
class EventLog {
public:
  static constexpr std::uint32_t MaxPerSecond = 20;

  /// \param Time must outlive the log.
  /// \param Limit lines of one event in a second.
  EventLog(const LoggingSettings &Settings, const Clock &Time,
           std::uint32_t Limit = MaxPerSecond);

  void write(LogEvent Event, const LogFields &Fields);

  /// \param Level the lowest level that is written, as in the settings.
  void setLevel(const std::string &Level);

  /// \returns the counts since the start; Written and Lost stay 0 with a log
  /// file.
  LogCounts counts() const;

  /// \returns the line for an event, without time and level.
  static std::string format(LogEvent Event, const LogFields &Fields,
                            std::uint32_t LeftOut);

private:
  struct Rate {
    std::int64_t Second = 0;
    std::uint32_t Written = 0;
    std::uint32_t LeftOut = 0;
  };

  /// \returns false if the event is to be left out.
  bool admit(LogEvent Event, std::uint32_t &LeftOut);

  const Clock &Time;
  std::uint32_t Limit;
  /// Null with a log file.
  std::shared_ptr<LineAppender> Console;
  mutable std::mutex Mutex;
  std::map<LogEvent, Rate> Rates;
  std::uint64_t TotalLeftOut = 0;
};

} // namespace camphorpin

#endif
