#include "camphorpin/src/Gateway/SettingsReload.h"

namespace camphorpin {

namespace {

template <typename Value>
void recordDifference(std::vector<std::string> &Fields, const char *Name,
                      const Value &Before, const Value &After) {
  if (!(Before == After))
    Fields.emplace_back(Name);
}

std::vector<std::string> fieldsNeedingRestart(const GatewaySettings &InForce,
                                              const GatewaySettings &Read) {
  std::vector<std::string> Fields;
  recordDifference(Fields, "node", InForce.Node, Read.Node);
  recordDifference(Fields, "zone", InForce.Zone, Read.Zone);
  recordDifference(Fields, "service", InForce.Service, Read.Service);
  recordDifference(Fields, "callAddress", InForce.CallAddress,
                   Read.CallAddress);
  recordDifference(Fields, "readyAddress", InForce.ReadyAddress,
                   Read.ReadyAddress);
  recordDifference(Fields, "reportAddress", InForce.ReportAddress,
                   Read.ReportAddress);
  recordDifference(Fields, "peerAddress", InForce.PeerAddress,
                   Read.PeerAddress);
  recordDifference(Fields, "metricsAddress", InForce.MetricsAddress,
                   Read.MetricsAddress);
  recordDifference(Fields, "backendAddress", InForce.BackendAddress,
                   Read.BackendAddress);
  recordDifference(Fields, "storeAddress", InForce.StoreAddress,
                   Read.StoreAddress);
  recordDifference(Fields, "logging.file", InForce.Logging.File,
                   Read.Logging.File);
  return Fields;
}

} // namespace

std::string detail::commaSeparated(const std::vector<std::string> &Names) {
  std::string Result;
  for (const std::string &Name : Names)
    Result += (Result.empty() ? "" : ",") + Name;
  return Result;
}

SettingsChange applyReloadedSettings(GatewaySettings &InForce,
                                     const GatewaySettings &Read) {
  SettingsChange Result;
  Result.NeedRestart = fieldsNeedingRestart(InForce, Read);
  recordDifference(Result.Applied, "retryBudget", InForce.RetryBudget,
                   Read.RetryBudget);
  recordDifference(Result.Applied, "stopGraceMs", InForce.StopGrace,
                   Read.StopGrace);
  recordDifference(Result.Applied, "logging.level", InForce.Logging.Level,
                   Read.Logging.Level);
  InForce.Logging.Level = Read.Logging.Level;
  InForce.RetryBudget = Read.RetryBudget;
  InForce.StopGrace = Read.StopGrace;
  return Result;
}

} // namespace camphorpin
