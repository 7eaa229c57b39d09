#include "camphorpin/src/Gateway/SettingsReload.h"

namespace camphorpin {

namespace {

template <typename Value>
void noteDifference(std::vector<std::string> &Fields, const char *Name,
                    const Value &Before, const Value &After) {
  if (!(Before == After))
    Fields.emplace_back(Name);
}

std::vector<std::string> fieldsNeedingRestart(const GatewaySettings &InForce,
                                              const GatewaySettings &Read) {
  std::vector<std::string> Fields;
  noteDifference(Fields, "node", InForce.Node, Read.Node);
  noteDifference(Fields, "zone", InForce.Zone, Read.Zone);
  noteDifference(Fields, "service", InForce.Service, Read.Service);
  noteDifference(Fields, "callAddress", InForce.CallAddress, Read.CallAddress);
  noteDifference(Fields, "readyAddress", InForce.ReadyAddress,
                 Read.ReadyAddress);
  noteDifference(Fields, "reportAddress", InForce.ReportAddress,
                 Read.ReportAddress);
  noteDifference(Fields, "peerAddress", InForce.PeerAddress, Read.PeerAddress);
  noteDifference(Fields, "metricsAddress", InForce.MetricsAddress,
                 Read.MetricsAddress);
  noteDifference(Fields, "backendAddress", InForce.BackendAddress,
                 Read.BackendAddress);
  noteDifference(Fields, "storeAddress", InForce.StoreAddress,
                 Read.StoreAddress);
  noteDifference(Fields, "logging.file", InForce.Logging.File,
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
  noteDifference(Result.Applied, "retryBudget", InForce.RetryBudget,
                 Read.RetryBudget);
  noteDifference(Result.Applied, "stopGraceMs", InForce.StopGrace,
                 Read.StopGrace);
  noteDifference(Result.Applied, "logging.level", InForce.Logging.Level,
                 Read.Logging.Level);
  InForce.Logging.Level = Read.Logging.Level;
  InForce.RetryBudget = Read.RetryBudget;
  InForce.StopGrace = Read.StopGrace;
  return Result;
}

} // namespace camphorpin
