#ifndef CAMPHORPIN_SRC_GATEWAY_SETTINGSRELOAD_H
#define CAMPHORPIN_SRC_GATEWAY_SETTINGSRELOAD_H

#include "camphorpin/src/Gateway/GatewaySettings.h"

#include <string>
#include <variant>
#include <vector>

namespace camphorpin {

/// \class SettingsSource
/// \brief Where a running node reads its settings again.
class SettingsSource {
public:
  virtual ~SettingsSource() = default;

  /// \returns the settings, or all faults found in them.
  virtual std::variant<GatewaySettings, std::vector<SettingsError>> read() = 0;
};

/// \class SettingsChange
/// \brief What settings that were read again have changed, by field.
struct SettingsChange {
  /// In force from now on.
  std::vector<std::string> Applied;
  /// In force after the next start of the node.
  std::vector<std::string> NeedRestart;

  bool empty() const { return Applied.empty() && NeedRestart.empty(); }
};

/// Takes what a running node can change from \p Loaded over to \p Current: the
/// retry budget and the stop grace. Addresses, names and the availability zone
/// stay until the next start.
SettingsChange applyReloadedSettings(GatewaySettings &Current,
                                     const GatewaySettings &Loaded);

namespace detail {

/// \returns \p Names with commas between them.
std::string commaSeparated(const std::vector<std::string> &Names);

} // namespace detail

} // namespace camphorpin

#endif
