#include "camphorpin/src/Gateway/SettingsReload.h"

namespace camphorpin {

namespace {

template <typename Value>
void recordDifference(std::vector<std::string> &Fields, const char *Name,
                      const Value &Before, const Value &After) {
  if (!(Before == After))
    Fields.emplace_back(Name);
}

std::vector<std::string> fieldsNeedingRestart(const GatewaySettings &Current,
                                              const GatewaySettings &Loaded) {
  std::vector<std::string> Fields;
  recordDifference(Fields, "node", Current.Node, Loaded.Node);
  recordDifference(Fields, "zone", Current.Zone, Loaded.Zone);
  recordDifference(Fields, "service", Current.Service, Loaded.Service);
  recordDifference(Fields, "callAddress", Current.CallAddress,
                   Loaded.CallAddress);
  recordDifference(Fields, "readyAddress", Current.ReadyAddress,
                   Loaded.ReadyAddress);
  recordDifference(Fields, "reportAddress", Current.ReportAddress,
                   Loaded.ReportAddress);
  recordDifference(Fields, "peerAddress", Current.PeerAddress,
                   Loaded.PeerAddress);
  recordDifference(Fields, "metricsAddress", Current.MetricsAddress,
                   Loaded.MetricsAddress);
  recordDifference(Fields, "backendAddress", Current.BackendAddress,
                   Loaded.BackendAddress);
  recordDifference(Fields, "storeAddress", Current.StoreAddress,
                   Loaded.StoreAddress);
  recordDifference(Fields, "logging.file", Current.Logging.File,
                   Loaded.Logging.File);
  return Fields;
}

} // namespace

std::string detail::commaSeparated(const std::vector<std::string> &Names) {
  std::string Result;
  for (const std::string &Name : Names)
    Result += (Result.empty() ? "" : ",") + Name;
  return Result;
}

SettingsChange applyReloadedSettings(GatewaySettings &Current,
                                     const GatewaySettings &Loaded) {
  SettingsChange Result;
  Result.NeedRestart = fieldsNeedingRestart(Current, Loaded);
  recordDifference(Result.Applied, "retryBudget", Current.RetryBudget,
                   Loaded.RetryBudget);
  recordDifference(Result.Applied, "stopGraceMs", Current.StopGrace,
                   Loaded.StopGrace);
  recordDifference(Result.Applied, "logging.level", Current.Logging.Level,
                   Loaded.Logging.Level);
  Current.Logging.Level = Loaded.Logging.Level;
  Current.RetryBudget = Loaded.RetryBudget;
  Current.StopGrace = Loaded.StopGrace;
  return Result;
}

} // namespace camphorpin
