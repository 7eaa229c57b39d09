#ifndef CAMPHORPIN_SRC_GATEWAY_SETTINGSRELOAD_H
#define CAMPHORPIN_SRC_GATEWAY_SETTINGSRELOAD_H

#include "camphorpin/src/Gateway/GatewaySettings.h"

#include <string>
#include <variant>
#include <vector>

namespace camphorpin {

/// \class SettingsSource
/// \brief Source from which a running node reloads its settings.
class SettingsSource {
public:
  virtual ~SettingsSource() = default;

  /// \returns the settings, or all errors in them.
  virtual std::variant<GatewaySettings, std::vector<SettingsError>> read() = 0;
};

/// \class SettingsChange
/// \brief Fields that a reload of the settings has changed.
struct SettingsChange {
  /// Applied immediately.
  std::vector<std::string> Applied;
  /// Applied after a restart of the node.
  std::vector<std::string> NeedRestart;

  bool empty() const { return Applied.empty() && NeedRestart.empty(); }
};

/// Copies the fields that can change at run time from \p Loaded to \p Current:
/// the retry budget, the stop grace and the log level. Addresses, names, the
/// availability zone and the log file change only with a restart.
SettingsChange applyReloadedSettings(GatewaySettings &Current,
                                     const GatewaySettings &Loaded);

namespace detail {

/// \returns \p Names separated by commas.
std::string commaSeparated(const std::vector<std::string> &Names);

} // namespace detail

} // namespace camphorpin

#endif
