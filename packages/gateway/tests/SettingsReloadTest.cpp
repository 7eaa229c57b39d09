#include "camphorpin/src/Gateway/SettingsReload.h"

#include <criterion/criterion.h>

using namespace camphorpin;

namespace {

GatewaySettings settings() {
  GatewaySettings Result;
  Result.Node = "n";
  Result.Zone = "a";
  Result.RetryBudget.Ratio = 0.2;
  return Result;
}

} // namespace

// Guards against a change that is silently ignored: applied fields and fields
// that need a restart are reported separately.
Test(SettingsReload, appliesFieldsThatNeedNoRestart) {
  GatewaySettings Current = settings();
  GatewaySettings Loaded = settings();
  Loaded.RetryBudget.Ratio = 0.1;
  Loaded.StopGrace = Duration::seconds(9);
  Loaded.Logging.Level = "debug";
  Loaded.Zone = "b";
  const SettingsChange Change = applyReloadedSettings(Current, Loaded);
  cr_assert_eq(detail::commaSeparated(Change.Applied),
               std::string("retryBudget,stopGraceMs,logging.level"));
  cr_assert_eq(detail::commaSeparated(Change.NeedRestart), std::string("zone"));
  cr_assert_eq(Current.RetryBudget.Ratio, 0.1);
  cr_assert_eq(Current.StopGrace, Duration::seconds(9));
  cr_assert_eq(Current.Logging.Level, std::string("debug"));
  cr_assert_eq(Current.Zone, std::string("a"));
}

// Guards against a log line for each reload of an unchanged file.
Test(SettingsReload, unchangedSettingsChangeNothing) {
  GatewaySettings Current = settings();
  cr_assert(applyReloadedSettings(Current, settings()).empty());
}
