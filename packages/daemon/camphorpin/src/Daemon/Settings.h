#ifndef CAMPHORPIN_SRC_DAEMON_SETTINGS_H
#define CAMPHORPIN_SRC_DAEMON_SETTINGS_H

#include "camphorpin/Core.h"
#include "camphorpin/Engine.h"
#include "camphorpin/src/Daemon/JsonFields.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace camphorpin {

/// \class HttpLimits
/// \brief Bounds on what an HTTP connection may send.
struct HttpLimits {
  /// Largest body of a request or an answer, in bytes.
  std::size_t Body = 1048576;
  /// Largest request line and headers together, in bytes.
  std::size_t Headers = 16384;
  /// Time in which a whole request must arrive.
  Duration ReadTimeout = Duration::seconds(5);
  /// Requests that are served at the same time; each takes a thread.
  std::size_t Threads = 64;
  /// Open connections. Beyond a quarter of the descriptors of the process, this
  /// has no effect.
  std::size_t Connections = 4096;
};

/// \class BackendSettings
/// \brief The local backend server.
struct BackendSettings {
  HostAddress Address;
  /// Connections to the backend server; each takes a thread.
  std::size_t Connections = 32;
};

/// \class LoggingSettings
/// \brief Where log events go.
struct LoggingSettings {
  std::string Level = "info";
  /// Empty for the console.
  std::string File;

  bool operator==(const LoggingSettings &) const = default;
};

/// \class Settings
/// \brief The settings of one node (docs/settings.md).
struct Settings {
  HostAddress Address;
  HostAddress HttpAddress;
  HostAddress AdminAddress;
  ZoneName Zone;
  RegionName Region;
  /// Empty for a node without a backend server.
  ServiceName Service;
  std::optional<BackendSettings> Backend;
  std::optional<HostAddress> LogAddress;
  /// How long the log keeps records.
  Duration LogRetention = Duration::seconds(24 * 3600);
  std::vector<ConfiguredPeer> Peers;
  /// In force until the log supplies other policies.
  PolicySet Policies;
  HttpLimits Limits;
  Duration ConnectionSilence = Duration::seconds(1);
  LoggingSettings Logging;
};

/// \returns the settings in \p Json, or all faults found.
std::variant<Settings, std::vector<SettingsError>>
parseSettings(std::string_view Json);

namespace detail {

/// Reads the object "logging", which all kinds of nodes share.
void readLogging(JsonFields &Root, LoggingSettings &Target,
                 std::vector<SettingsError> &Errors);

} // namespace detail

} // namespace camphorpin

#endif
