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

// Guards operators against a change that is silently ignored: what is in force
// and what waits for a restart is told apart.
Test(SettingsReload, appliesWhatNeedsNoRestart) {
  GatewaySettings InForce = settings();
  GatewaySettings Read = settings();
  Read.RetryBudget.Ratio = 0.1;
  Read.StopGrace = Duration::seconds(9);
  Read.Logging.Level = "debug";
  Read.Zone = "b";
  const SettingsChange Change = applyReloadedSettings(InForce, Read);
  cr_assert_eq(detail::commaSeparated(Change.Applied),
               std::string("retryBudget,stopGraceMs,logging.level"));
  cr_assert_eq(detail::commaSeparated(Change.NeedRestart), std::string("zone"));
  cr_assert_eq(InForce.RetryBudget.Ratio, 0.1);
  cr_assert_eq(InForce.StopGrace, Duration::seconds(9));
  cr_assert_eq(InForce.Logging.Level, std::string("debug"));
  cr_assert_eq(InForce.Zone, std::string("a"));
}

// Guards the log against a line for each read of an unchanged file.
Test(SettingsReload, unchangedSettingsChangeNothing) {
  GatewaySettings InForce = settings();
  cr_assert(applyReloadedSettings(InForce, settings()).empty());
}
