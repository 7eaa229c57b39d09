#ifndef CAMPHORPIN_SRC_ENGINE_LOGEVENT_H
#define CAMPHORPIN_SRC_ENGINE_LOGEVENT_H

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpin {

/// \brief The numbers of the log events. A number never changes its meaning,
/// and the number of a removed event is not reused.
enum class LogEvent : std::uint16_t {
  NodeStarted = 100,
  StateChanged = 101,
  DrainRequested = 102,
  NodeEnded = 103,
  SettingsReloaded = 104,
  SettingsRejected = 105,
  HandlerFailed = 106,
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
  ConfigurationProblem = 613,
  StoreReadFailed = 614,
  StoreEraChanged = 615,
  StoreBehind = 616,
};

/// \brief The severity of a log event.
enum class LogSeverity : std::uint8_t { Debug, Info, Warning, Error };

/// \class LogEventInfo
/// \brief An entry of the event catalogue, which docs/events.md documents.
struct LogEventInfo {
  LogEvent Event;
  LogSeverity Severity;
  std::string_view Name;
  /// The names of the fields, in order, separated by commas.
  std::string_view Fields;
  /// What happened, and what an operator can do about it.
  std::string_view Meaning;
};

/// \class LogField
/// \brief The name and value of a field of a log event.
struct LogField {
  std::string_view Name;
  std::string Value;
};

using LogFields = std::vector<LogField>;

/// \returns all events, ordered by number.
std::span<const LogEventInfo> logEventCatalogue();

/// \returns the catalogue entry of \p Event.
const LogEventInfo &logEventInfo(LogEvent Event);

/// \returns the name of the severity, for example "warning".
std::string_view toString(LogSeverity Value);

} // namespace camphorpin

#endif
