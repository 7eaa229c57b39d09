#ifndef CAMPHORPIN_SRC_ENGINE_LOGEVENT_H
#define CAMPHORPIN_SRC_ENGINE_LOGEVENT_H

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpin {

/// \brief The numbers of log events. A number keeps its meaning for ever; a
/// number that is no longer used is not given to another event.
enum class LogEvent : std::uint16_t {
  NodeStarted = 100,
  StateChanged = 101,
  DrainRequested = 102,
  NodeEnded = 103,
  SettingsReloaded = 104,
  SettingsRejected = 105,
  ConnectionOpened = 200,
  ConnectionFailed = 201,
  ConnectionReplaced = 202,
  VersionMismatch = 203,
  MessageRejected = 204,
  RequestRejected = 300,
  NodeOverloaded = 301,
  MemberChanged = 400,
  ZoneChanged = 401,
  SelfRenewed = 402,
  LogUnreachable = 410,
  LogReachable = 411,
  DocumentInForce = 412,
  DocumentRejected = 413,
  ChangeConflict = 414,
  RecordInvalid = 415,
  AppendFailed = 416,
  SnapshotRejected = 417,
  BackendCrashed = 500,
  BackendRecovered = 501,
  BackendChanged = 502,
  ReportRejected = 503,
  RequestRetried = 600,
  RequestFailed = 601,
  RequestTurnedAway = 602,
  RunFailed = 603,
  ConfigurationInForce = 610,
  StoreUnreachable = 611,
  StoreReachable = 612,
};

/// \brief How important a log event is.
enum class LogSeverity : std::uint8_t { Debug, Info, Warning, Error };

/// \class LogEventInfo
/// \brief An entry of the catalogue docs/events.md.
struct LogEventInfo {
  LogEvent Event;
  LogSeverity Severity;
  std::string_view Name;
  /// The fields of the event, in order, separated by commas.
  std::string_view Fields;
  /// What happened, and what an operator can do about it.
  std::string_view Meaning;
};

/// \class LogField
/// \brief One value of a log event.
struct LogField {
  std::string_view Name;
  std::string Value;
};

using LogFields = std::vector<LogField>;

/// \returns all events in the order of their numbers.
std::span<const LogEventInfo> logEventCatalogue();

/// \returns the catalogue entry of \p Event.
const LogEventInfo &logEventInfo(LogEvent Event);

/// \returns the name of the severity, for example "warning".
std::string_view toString(LogSeverity Value);

} // namespace camphorpin

#endif
