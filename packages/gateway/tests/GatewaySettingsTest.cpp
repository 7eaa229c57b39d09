// Guards against a faulty settings file that starts a misconfigured node: all
// errors are reported together, each with its field.
#include "camphorpin/src/Gateway/GatewaySettings.h"

#include <criterion/criterion.h>
#include <string>

using namespace camphorpin;

namespace {

std::string settingsWith(const std::string &More) {
  return R"({ "gateway": { // a comment
    "node": "n", "zone": "a", "service": "s",
    "callAddress": "127.0.0.1:1", "readyAddress": "127.0.0.1:2",
    "reportAddress": "127.0.0.1:3", "peerAddress": "127.0.0.1:4",
    "backendAddress": "127.0.0.1:5", "storeAddress": "127.0.0.1:6")" +
         More + "} }";
}

std::vector<SettingsError> faultsOf(const std::string &Json) {
  const auto Result = parseGatewaySettings(Json);
  const auto *Faults = std::get_if<std::vector<SettingsError>>(&Result);
  return Faults == nullptr ? std::vector<SettingsError>() : *Faults;
}

} // namespace

Test(GatewaySettings, parsesGivenFieldsAndKeepsDefaults) {
  const auto Result = parseGatewaySettings(settingsWith(
      R"(, "stopGraceMs": 4000, "logging": { "level": "error" },
         "retryBudget": { "ratioPerMille": 250 })"));
  const auto &Read = std::get<GatewaySettings>(Result);
  cr_assert_eq(Read.StopGrace, Duration::seconds(4));
  cr_assert_eq(Read.Logging.Level, std::string("error"));
  cr_assert_eq(Read.RetryBudget.Ratio, 0.25);
  cr_assert_eq(Read.RetryBudget.Window, RetryBudgetSettings().Window);
  cr_assert(!Read.MetricsAddress);
  cr_assert_not(Read.FirstStart);
}

Test(GatewaySettings, parsesPlatformLimits) {
  const auto Result = parseGatewaySettings(
      settingsWith(R"(, "firstStart": true, "memoryMb": 160)"));
  const auto &Read = std::get<GatewaySettings>(Result);
  cr_assert(Read.FirstStart);
  cr_assert_eq(Read.MemoryBytes, std::size_t(160) << 20U);
  cr_assert_eq(
      faultsOf(settingsWith(R"(, "firstStart": 1, "memoryMb": 0)")).size(), 2U);
}

Test(GatewaySettings, reportsEveryFault) {
  const std::vector<SettingsError> Faults = faultsOf(settingsWith(
      R"(, "logging": { "level": "loud" }, "stopGraceMs": 0, "typo": 1)"));
  std::string Fields;
  for (const SettingsError &Fault : Faults)
    Fields += Fault.Field + " ";
  cr_assert_eq(Fields, std::string("gateway.stopGraceMs "
                                   "gateway.logging.level gateway.typo "));
}

Test(GatewaySettings, rejectsFileWithoutGatewayObject) {
  for (const char *Json : {"", "[]", "{}", R"({"gateway": 3})"})
    cr_assert_eq(faultsOf(Json).size(), 1U, "accepted: %s", Json);
}
