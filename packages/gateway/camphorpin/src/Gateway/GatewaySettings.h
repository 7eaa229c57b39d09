#ifndef CAMPHORPIN_SRC_GATEWAY_GATEWAYSETTINGS_H
#define CAMPHORPIN_SRC_GATEWAY_GATEWAYSETTINGS_H

#include "camphorpin/src/Daemon/JsonFields.h"
#include "camphorpin/src/Daemon/Settings.h"
#include "camphorpin/src/Gateway/NodeRetryBudget.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace camphorpin {

/// \class GatewaySettings
/// \brief The settings of a node that runs on a hosted platform.
struct GatewaySettings {
  std::string Node;
  std::string Zone;
  std::string Service;
  /// Listens for requests of callers on this host.
  HostAddress CallAddress;
  /// Listens for readiness checks of the platform.
  HostAddress ReadyAddress;
  /// Listens for lifecycle reports of the backend server.
  HostAddress ReportAddress;
  /// Listens for connections of other nodes.
  HostAddress PeerAddress;
  std::optional<HostAddress> MetricsAddress;
  HostAddress BackendAddress;
  HostAddress StoreAddress;
  RetryBudgetSettings RetryBudget;
  /// Time between SIGTERM and SIGKILL.
  Duration StopGrace = Duration::seconds(6);
  /// The whole fleet starts for the first time, so no earlier process of this
  /// node has acknowledged anything.
  bool FirstStart = false;
  /// Memory that the process may use.
  std::size_t MemoryBytes = std::size_t(256) << 20U;
  /// Descriptors that the process may open; 0 if only the limit of the process
  /// itself holds.
  std::size_t MaxDescriptors = 0;
  LoggingSettings Logging;
  /// Limits set by the platform, in its own notation ("name=value").
  std::vector<std::string> PlatformBounds;

  /// \returns the smaller of MaxDescriptors and the limit of the process.
  std::size_t descriptorLimit() const;
};

/// \returns true if \p Json holds the settings of a gateway rather than of a
/// stand-alone node.
bool isGatewaySettings(std::string_view Json);

/// \returns the settings in \p Json (docs/settings.md), or all errors found.
std::variant<GatewaySettings, std::vector<SettingsError>>
parseGatewaySettings(std::string_view Json);

} // namespace camphorpin

#endif
