#ifndef CAMPHORPIN_SRC_DAEMON_EVENTLOG_H
#define CAMPHORPIN_SRC_DAEMON_EVENTLOG_H

#include "camphorpin/Core.h"
#include "camphorpin/Engine.h"
#include "camphorpin/src/Daemon/Settings.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace camphorpin {

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
/// next line says how many were left out.
class EventLog {
public:
  static constexpr std::uint32_t MaxPerSecond = 20;

  /// \param Time must outlive the log.
  /// \param Limit lines of one event in a second.
  EventLog(const LoggingSettings &Settings, const Clock &Time,
           std::uint32_t Limit = MaxPerSecond);

  void write(LogEvent Event, const LogFields &Fields);

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
  std::mutex Mutex;
  std::map<LogEvent, Rate> Rates;
};

} // namespace camphorpin

#endif
