#include "camphorpin/src/Daemon/DocumentPolicies.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace camphorpin {

namespace {

Duration millisField(const nlohmann::json &Value, const char *Field,
                     Duration Default) {
  return Duration::millis(Value.value(Field, Default.wholeMillis()));
}

} // namespace

DocumentPolicies::DocumentPolicies(
    const std::map<std::string, std::string> &Documents,
    std::vector<SettingsError> &Errors) {
  Mesh.Ranks = {
      {"urgent", 0.02, 1.0}, {"normal", 0.02, 1.0}, {"lookup", 0.01, 0.8}};
  // "mesh" sorts before "service/...", which refers to its ranks.
  for (const auto &[Name, Text] : Documents) {
    try {
      const nlohmann::json Value = nlohmann::json::parse(Text);
      if (Name == "mesh")
        readMesh(Value);
      else if (Name.rfind("service/", 0) == 0)
        readService(Value);
      else
        Errors.push_back({"documents." + Name, "unknown kind of document"});
    } catch (const std::exception &Error) {
      Errors.push_back({"documents." + Name, Error.what()});
    }
  }
}

const ServicePolicy *DocumentPolicies::service(const ServiceName &Name) const {
  const auto Found = Services.find(Name);
  return Found != Services.end() ? &Found->second : nullptr;
}

void DocumentPolicies::readMesh(const nlohmann::json &Value) {
  Mesh.Ranks.clear();
  for (const nlohmann::json &Entry : Value.at("ranks"))
    Mesh.Ranks.push_back({Entry.at("name").get<std::string>(),
                          Entry.value("floor", 0.0), Entry.value("cap", 1.0)});
  if (Mesh.Ranks.empty() || Mesh.Ranks.size() > MaxRanks)
    throw std::invalid_argument("ranks: must hold 1 to 8 entries");
  Mesh.MaxHops = Value.value("maxHops", Mesh.MaxHops);
  Mesh.ExtraAttempts = Value.value("extraAttempts", Mesh.ExtraAttempts);
  Mesh.RetryRatio = Value.value("retryRatio", Mesh.RetryRatio);
  Mesh.KeyRetention = millisField(Value, "keyRetentionMs", Mesh.KeyRetention);
  Mesh.LogSilenceBound =
      millisField(Value, "logSilenceBoundMs", Mesh.LogSilenceBound);
  if (Value.contains("callerShares"))
    for (const auto &Entry : Value.at("callerShares").items())
      Mesh.CallerShares[CallerName(Entry.key())] =
          Entry.value().get<std::uint32_t>();
}

void DocumentPolicies::readService(const nlohmann::json &Value) {
  ServicePolicy Policy;
  Policy.Service = ServiceName(Value.at("service").get<std::string>());
  Policy.Slots = Value.value("slots", Policy.Slots);
  Policy.Connections = Value.value("connections", Policy.Connections);
  Policy.QueueLimit = Value.value("queueLimit", Policy.QueueLimit);
  Policy.CancelLowerRanks =
      Value.value("cancelLowerRanks", Policy.CancelLowerRanks);
  for (const auto &Entry : Value.at("operations").items())
    Policy.Operations[OperationName(Entry.key())] =
        readOperation(Entry.value());
  const ServiceName Name = Policy.Service;
  Services[Name] = std::move(Policy);
}

OperationPolicy
DocumentPolicies::readOperation(const nlohmann::json &Value) const {
  OperationPolicy Policy;
  const std::string RankName = Value.at("rank").get<std::string>();
  std::uint8_t Index = 0;
  while (Index < Mesh.Ranks.size() && Mesh.Ranks[Index].Name != RankName)
    ++Index;
  if (Index == Mesh.Ranks.size())
    throw std::invalid_argument("unknown rank '" + RankName + "'");
  Policy.Rank = Rank(Index);
  Policy.Idempotent = Value.value("idempotent", Policy.Idempotent);
  Policy.Deadline = millisField(Value, "deadlineMs", Policy.Deadline);
  return Policy;
}

} // namespace camphorpin
