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
  /// Where callers on the host send their requests.
  HostAddress CallAddress;
  /// Where the platform asks whether the node takes requests.
  HostAddress ReadyAddress;
  /// Where the backend server reports about itself.
  HostAddress ReportAddress;
  /// Where other nodes connect.
  HostAddress PeerAddress;
  std::optional<HostAddress> MetricsAddress;
  HostAddress BackendAddress;
  HostAddress StoreAddress;
  RetryBudgetSettings RetryBudget;
  /// Time between SIGTERM and SIGKILL.
  Duration StopGrace = Duration::seconds(6);
  LoggingSettings Logging;
  /// What the platform allows, in its own words ("name=value").
  std::vector<std::string> PlatformBounds;
};

/// \returns true if \p Json has the settings of a gateway and not those of a
/// stand-alone node.
bool isGatewaySettings(std::string_view Json);

/// \returns the settings in \p Json (docs/settings.md), or all faults found.
std::variant<GatewaySettings, std::vector<SettingsError>>
parseGatewaySettings(std::string_view Json);

} // namespace camphorpin

#endif
