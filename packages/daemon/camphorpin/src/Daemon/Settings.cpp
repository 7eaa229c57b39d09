#include "camphorpin/src/Daemon/Settings.h"

#include <algorithm>
#include <array>

namespace camphorpin {

namespace {

constexpr std::size_t MaxPeers = 64;
constexpr std::size_t MaxBody = 16U << 20U;
constexpr std::size_t MaxHeaders = 1U << 20U;
constexpr std::uint64_t MaxConnections = 2000;
constexpr std::uint64_t MaxHttpThreads = 4000;
constexpr std::uint64_t MaxHttpConnections = 65536;
constexpr std::uint64_t MinRetentionMillis = 60000;
constexpr std::uint64_t MaxRetentionMillis = 366ULL * 24 * 3600 * 1000;
constexpr std::uint64_t MaxWaitMillis = 3600000;
constexpr std::array<std::string_view, 5> Levels = {"trace", "debug", "info",
                                                    "warn", "error"};

void readBackend(JsonFields &Root, Settings &Target,
                 std::vector<SettingsError> &Errors) {
  const nlohmann::json *Value = Root.object("backend");
  if (Target.Service.empty() != (Value == nullptr)) {
    Root.report("backend", "must be given together with service");
  }
  if (Value == nullptr)
    return;
  JsonFields Fields(*Value, Root.path("backend"), Errors);
  BackendSettings Backend;
  Backend.Address = Fields.address("address", true).value_or(HostAddress());
  Backend.Connections =
      Fields.number("connections", 1, MaxConnections, Backend.Connections);
  Target.Backend = Backend;
}

void readPeers(JsonFields &Root, Settings &Target,
               std::vector<SettingsError> &Errors) {
  const nlohmann::json *Peers = Root.list("peers");
  if (Peers == nullptr)
    return;
  if (Peers->size() > MaxPeers)
    Root.report("peers", "holds more than 64 entries");
  for (std::size_t Index = 0; Index < Peers->size(); ++Index) {
    const std::string Path = "peers[" + std::to_string(Index) + "]";
    const nlohmann::json &Value = (*Peers)[Index];
    if (!Value.is_object()) {
      Root.report(Path.c_str(), "must be an object");
      continue;
    }
    JsonFields Fields(Value, Path, Errors);
    ConfiguredPeer Peer;
    Peer.Address = Fields.address("address", true).value_or(HostAddress());
    Peer.Service = ServiceName(Fields.name("service", false));
    Peer.Zone = ZoneName(Fields.name("zone", true));
    Peer.Region = RegionName(Fields.name("region", true));
    Target.Peers.push_back(Peer);
  }
}

void readDocuments(JsonFields &Root, Settings &Target,
                   std::vector<SettingsError> &Errors) {
  const nlohmann::json *Documents = Root.object("documents");
  if (Documents == nullptr)
    return;
  std::variant<PolicySet, PolicyErrors> Result =
      parsePolicySet(Documents->dump());
  if (const PolicyErrors *Faults = std::get_if<PolicyErrors>(&Result)) {
    for (const PolicyError &Fault : *Faults)
      Errors.push_back({"documents", Fault.toString()});
    return;
  }
  Target.Policies = std::get<PolicySet>(std::move(Result));
}

void readLimits(JsonFields &Root, Settings &Target,
                std::vector<SettingsError> &Errors) {
  const nlohmann::json *Value = Root.object("limits");
  if (Value == nullptr)
    return;
  JsonFields Fields(*Value, Root.path("limits"), Errors);
  HttpLimits &Limits = Target.Limits;
  Limits.Body = Fields.number("body", 1, MaxBody, Limits.Body);
  Limits.Headers = Fields.number("headers", 256, MaxHeaders, Limits.Headers);
  Limits.ReadTimeout = Duration::millis(static_cast<std::int64_t>(Fields.number(
      "readTimeoutMs", 1, MaxWaitMillis, Limits.ReadTimeout.wholeMillis())));
  Limits.Threads =
      Fields.number("httpThreads", 1, MaxHttpThreads, Limits.Threads);
  Limits.Connections = Fields.number("httpConnections", 1, MaxHttpConnections,
                                     Limits.Connections);
}

void readLog(JsonFields &Root, Settings &Target,
             std::vector<SettingsError> &Errors) {
  const nlohmann::json *Value = Root.object("log");
  if (Value == nullptr)
    return;
  JsonFields Fields(*Value, Root.path("log"), Errors);
  Target.LogAddress = Fields.address("address", true);
  Target.LogRetention = Duration::millis(static_cast<std::int64_t>(
      Fields.number("retentionMs", MinRetentionMillis, MaxRetentionMillis,
                    Target.LogRetention.wholeMillis())));
}

void readRoot(const nlohmann::json &Value, Settings &Target,
              std::vector<SettingsError> &Errors) {
  JsonFields Root(Value, "", Errors);
  Target.Address = Root.address("address", true).value_or(HostAddress());
  Target.HttpAddress =
      Root.address("httpAddress", true).value_or(HostAddress());
  Target.AdminAddress =
      Root.address("adminAddress", true).value_or(HostAddress());
  Target.Zone = ZoneName(Root.name("zone", true));
  Target.Region = RegionName(Root.name("region", true));
  Target.Service = ServiceName(Root.name("service", false));
  readBackend(Root, Target, Errors);
  readLog(Root, Target, Errors);
  readPeers(Root, Target, Errors);
  readDocuments(Root, Target, Errors);
  readLimits(Root, Target, Errors);
  Target.ConnectionSilence = Duration::millis(static_cast<std::int64_t>(
      Root.number("connectionSilenceMs", 10, MaxWaitMillis,
                  Target.ConnectionSilence.wholeMillis())));
  detail::readLogging(Root, Target.Logging, Errors);
}

} // namespace

void detail::readLogging(JsonFields &Root, LoggingSettings &Target,
                         std::vector<SettingsError> &Errors) {
  const nlohmann::json *Value = Root.object("logging");
  if (Value == nullptr)
    return;
  JsonFields Fields(*Value, Root.path("logging"), Errors);
  if (Fields.has("level")) {
    Target.Level = Fields.text("level");
    if (std::find(Levels.begin(), Levels.end(), Target.Level) == Levels.end())
      Fields.report("level", "must be trace, debug, info, warn or error");
  }
  Target.File = Fields.text("file");
}

std::variant<Settings, std::vector<SettingsError>>
parseSettings(std::string_view Json) {
  std::vector<SettingsError> Errors;
  nlohmann::json Value;
  try {
    Value = nlohmann::json::parse(Json, nullptr, true,
                                  /*ignore_comments=*/true);
  } catch (const nlohmann::json::exception &Error) {
    Errors.push_back({"", Error.what()});
    return Errors;
  }
  if (!Value.is_object()) {
    Errors.push_back({"", "is not a JSON object"});
    return Errors;
  }
  Settings Result;
  readRoot(Value, Result, Errors);
  if (!Errors.empty())
    return Errors;
  return Result;
}

} // namespace camphorpin
