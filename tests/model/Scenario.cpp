#include "Scenario.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

namespace camphorpin::model {

namespace {

using Json = nlohmann::json;

Duration millisOf(const Json &Value, const char *Name, Duration Default) {
  const auto Found = Value.find(Name);
  return Found == Value.end() ? Default
                              : Duration::fromMillis(Found->get<double>());
}

ServiceSpec serviceOf(const Json &Value) {
  ServiceSpec Result;
  Result.Name = Value.at("name").get<std::string>();
  Result.Slots = Value.at("slots").get<std::uint32_t>();
  Result.Speeds = Value.at("speeds").get<std::vector<double>>();
  Result.FullFrom = Value.value("fullFrom", Result.FullFrom);
  Result.SlowFactor = Value.value("slowFactor", Result.SlowFactor);
  return Result;
}

RouteSpec routeOf(const Json &Value) {
  RouteSpec Result;
  Result.Name = Value.at("name").get<std::string>();
  Result.Service = Value.at("service").get<std::string>();
  Result.Rank = Value.value("rank", Result.Rank);
  Result.Idempotent = Value.value("idempotent", Result.Idempotent);
  Result.WorkMillis = Value.at("workMs").get<double>();
  Result.WorkSpread = Value.value("workSpread", Result.WorkSpread);
  Result.Objective = millisOf(Value, "objectiveMs", Result.Objective);
  Result.Bytes = Value.value("bytes", Result.Bytes);
  Result.Timeout = millisOf(Value, "timeoutMs", Result.Timeout);
  Result.Deadline = millisOf(Value, "deadlineMs", Result.Deadline);
  Result.MaxAttempts = Value.value("maxAttempts", Result.MaxAttempts);
  Result.Worth = Value.value("worth", Result.Worth);
  Result.LateWorth = Value.value("lateWorth", Result.LateWorth);
  Result.Retries = Value.value("retries", Result.Retries);
  for (const Json &Call : Value.value("calls", Json::array()))
    Result.Calls.push_back({Call.at("route").get<std::string>(),
                            Call.value("times", 1),
                            Call.value("together", false)});
  return Result;
}

EventKind kindOf(const std::string &Name) {
  if (Name == "burst")
    return EventKind::Burst;
  if (Name == "shed")
    return EventKind::Shed;
  if (Name == "slow")
    return EventKind::Slow;
  throw std::runtime_error("unknown kind of event: " + Name);
}

EventSpec eventOf(const Json &Value) {
  EventSpec Result;
  Result.Kind = kindOf(Value.at("kind").get<std::string>());
  Result.At = millisOf(Value, "atMs", Duration());
  Result.For = millisOf(Value, "forMs", Duration());
  Result.Target = Value.at("target").get<std::string>();
  Result.Factor = Value.at("factor").get<double>();
  return Result;
}

void check(const Scenario &Value) {
  for (const FlowSpec &Flow : Value.Flows)
    (void)Value.route(Flow.Route);
  for (const RouteSpec &Route : Value.Routes)
    for (const CallSpec &Call : Route.Calls)
      (void)Value.route(Call.Route);
}

} // namespace

const RouteSpec &Scenario::route(std::string_view Name) const {
  for (const RouteSpec &Route : Routes)
    if (Route.Name == Name)
      return Route;
  throw std::runtime_error("unknown route: " + std::string(Name));
}

Scenario parseScenario(std::string_view Text) {
  const Json Root = Json::parse(Text, nullptr, /*allow_exceptions=*/true,
                                /*ignore_comments=*/true);
  Scenario Result;
  Result.Name = Root.at("name").get<std::string>();
  Result.Length = millisOf(Root, "lengthMs", Result.Length);
  Result.SameZoneDelay = millisOf(Root, "sameZoneMs", Duration());
  Result.OtherZoneDelay = millisOf(Root, "otherZoneMs", Duration());
  Result.Zones = Root.value("zones", Result.Zones);
  for (const Json &Item : Root.at("services"))
    Result.Services.push_back(serviceOf(Item));
  for (const Json &Item : Root.at("routes"))
    Result.Routes.push_back(routeOf(Item));
  for (const Json &Item : Root.at("flows"))
    Result.Flows.push_back({Item.at("route").get<std::string>(),
                            Item.at("perSecond").get<double>()});
  for (const Json &Item : Root.value("events", Json::array()))
    Result.Events.push_back(eventOf(Item));
  check(Result);
  return Result;
}

Scenario readScenario(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    throw std::runtime_error("cannot read " + Path);
  std::stringstream Text;
  Text << File.rdbuf();
  return parseScenario(Text.str());
}

} // namespace camphorpin::model
