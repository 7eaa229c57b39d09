#include "camphorpin/src/Gateway/GatewaySettings.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sys/resource.h>

namespace camphorpin {

namespace {

constexpr std::uint64_t MaxMillis = 3600000;
/// Ratios are given in thousandths, because settings are integers.
constexpr double RatioUnit = 1000.0;
constexpr std::uint64_t MaxRatio = 10000;
constexpr std::uint64_t MaxSlack = 1000000;
constexpr std::uint64_t MinMemoryMegabytes = 32;
constexpr std::uint64_t MaxMemoryMegabytes = 1U << 20U;
constexpr unsigned MegabyteBits = 20;
constexpr std::uint64_t MinDescriptors = 64;
constexpr std::uint64_t MaxDescriptors = 1U << 20U;
/// Assumed if neither the settings nor the process have a limit.
constexpr std::size_t DefaultDescriptors = 1024;

nlohmann::json parseJson(std::string_view Json) {
  return nlohmann::json::parse(Json, nullptr, /*allow_exceptions=*/false,
                               /*ignore_comments=*/true);
}

Duration readMillis(JsonFields &Fields, const char *Name, Duration Default) {
  return Duration::millis(static_cast<std::int64_t>(
      Fields.number(Name, 1, MaxMillis, Default.wholeMillis())));
}

void readBudget(JsonFields &Root, GatewaySettings &Target,
                std::vector<SettingsError> &Errors) {
  const nlohmann::json *Value = Root.object("retryBudget");
  if (Value == nullptr)
    return;
  JsonFields Fields(*Value, Root.path("retryBudget"), Errors);
  RetryBudgetSettings &Budget = Target.RetryBudget;
  Budget.Ratio = static_cast<double>(Fields.number(
                     "ratioPerMille", 0, MaxRatio,
                     static_cast<std::uint64_t>(Budget.Ratio * RatioUnit))) /
                 RatioUnit;
  Budget.Slack = static_cast<double>(Fields.number(
      "slack", 0, MaxSlack, static_cast<std::uint64_t>(Budget.Slack)));
  Budget.Window = readMillis(Fields, "windowMs", Budget.Window);
}

void readBounds(JsonFields &Root, GatewaySettings &Target) {
  const nlohmann::json *Bounds = Root.list("platformBounds");
  if (Bounds == nullptr)
    return;
  for (const nlohmann::json &Item : *Bounds) {
    if (Item.is_string())
      Target.PlatformBounds.push_back(Item.get<std::string>());
    else
      Root.report("platformBounds", "must contain only strings");
  }
}

void readGateway(const nlohmann::json &Value, GatewaySettings &Target,
                 std::vector<SettingsError> &Errors) {
  JsonFields Root(Value, "gateway", Errors);
  const auto Address = [&Root](const char *Name) {
    return Root.address(Name, true).value_or(HostAddress());
  };
  Target.Node = Root.name("node", true);
  Target.Zone = Root.name("zone", true);
  Target.Service = Root.name("service", true);
  Target.CallAddress = Address("callAddress");
  Target.ReadyAddress = Address("readyAddress");
  Target.ReportAddress = Address("reportAddress");
  Target.PeerAddress = Address("peerAddress");
  Target.BackendAddress = Address("backendAddress");
  Target.StoreAddress = Address("storeAddress");
  Target.MetricsAddress = Root.address("metricsAddress", false);
  Target.StopGrace = readMillis(Root, "stopGraceMs", Target.StopGrace);
  Target.FirstStart = Root.flag("firstStart", Target.FirstStart);
  Target.MemoryBytes = static_cast<std::size_t>(Root.number(
                           "memoryMb", MinMemoryMegabytes, MaxMemoryMegabytes,
                           Target.MemoryBytes >> MegabyteBits))
                       << MegabyteBits;
  Target.MaxDescriptors = static_cast<std::size_t>(Root.number(
      "maxDescriptors", MinDescriptors, MaxDescriptors, Target.MaxDescriptors));
  readBudget(Root, Target, Errors);
  readBounds(Root, Target);
  detail::readLogging(Root, Target.Logging, Errors);
}

} // namespace

std::size_t GatewaySettings::descriptorLimit() const {
  rlimit Process{};
  const bool Known = ::getrlimit(RLIMIT_NOFILE, &Process) == 0 &&
                     Process.rlim_cur != RLIM_INFINITY;
  if (!Known)
    return MaxDescriptors > 0 ? MaxDescriptors : DefaultDescriptors;
  const std::size_t Limit = Process.rlim_cur;
  return MaxDescriptors > 0 ? std::min(MaxDescriptors, Limit) : Limit;
}

bool isGatewaySettings(std::string_view Json) {
  const nlohmann::json Value = parseJson(Json);
  return Value.is_object() && Value.contains("gateway");
}

std::variant<GatewaySettings, std::vector<SettingsError>>
parseGatewaySettings(std::string_view Json) {
  std::vector<SettingsError> Errors;
  const nlohmann::json Value = parseJson(Json);
  if (!Value.is_object() || !Value.contains("gateway") ||
      !Value["gateway"].is_object()) {
    Errors.push_back({"gateway", "must be an object"});
    return Errors;
  }
  GatewaySettings Result;
  readGateway(Value["gateway"], Result, Errors);
  if (!Errors.empty())
    return Errors;
  return Result;
}

} // namespace camphorpin
