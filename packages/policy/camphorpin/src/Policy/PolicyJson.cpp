#include "camphorpin/src/Policy/PolicyJson.h"

#include "camphorpin/src/Policy/JsonReader.h"
#include "camphorpin/src/Policy/PolicyCheck.h"
#include "camphorpin/src/Policy/PolicyLimits.h"

#include <cassert>
#include <nlohmann/json.hpp>
#include <utility>

namespace camphorpin {

namespace {

using detail::JsonReader;

/// Assigns \p Value to \p Field if there is a value.
template <class Target, class Source>
void assign(Target &Field, const std::optional<Source> &Value) {
  if (Value)
    Field = static_cast<Target>(*Value);
}

void assignMillis(Duration &Field, const std::optional<std::int64_t> &Value) {
  if (Value)
    Field = Duration::millis(*Value);
}

void readRanks(JsonReader &Reader, MeshPolicy &Policy, PolicyErrors &Errors) {
  const nlohmann::json *List = Reader.find("ranks", true);
  if (List == nullptr)
    return;
  if (!List->is_array()) {
    Reader.report(PolicyFault::WrongType, "ranks", List, "a list of 1 to 8");
    return;
  }
  for (const nlohmann::json &Entry : *List) {
    const std::string Path =
        "ranks[" + std::to_string(Policy.Ranks.size()) + "]";
    JsonReader Rank(Entry, Path, Errors);
    RankPolicy Result;
    assign(Result.Name, Rank.name("name", true));
    assign(Result.Floor, Rank.share("floor"));
    assign(Result.Cap, Rank.share("cap"));
    Rank.reportUnknownFields();
    Policy.Ranks.push_back(std::move(Result));
  }
}

void readCallerShares(JsonReader &Reader, MeshPolicy &Policy,
                      PolicyErrors &Errors) {
  const nlohmann::json *Shares = Reader.find("callerShares", false);
  if (Shares == nullptr)
    return;
  JsonReader Callers(*Shares, Reader.pathOf("callerShares"), Errors);
  if (!Shares->is_object())
    return;
  for (const auto &Entry : Shares->items()) {
    const std::optional<std::int64_t> Weight =
        Callers.integer(Entry.key(), 1, detail::MaxCallerShare, true);
    if (!isValidName(Entry.key()))
      Callers.report(PolicyFault::OutOfRange, Entry.key(), &Entry.value(),
                     "a caller name out of [a-zA-Z0-9._-]");
    if (Weight)
      Policy.CallerShares[CallerName(Entry.key())] =
          static_cast<std::uint32_t>(*Weight);
  }
}

std::optional<CallTarget> parseCallTarget(const nlohmann::json &Value) {
  if (!Value.is_string())
    return std::nullopt;
  const std::string_view Text = Value.get_ref<const std::string &>();
  const std::size_t Slash = Text.find('/');
  if (Slash == std::string_view::npos)
    return std::nullopt;
  const std::string_view Service = Text.substr(0, Slash);
  const std::string_view Operation = Text.substr(Slash + 1);
  if (!isValidName(Service) || !isValidName(Operation))
    return std::nullopt;
  return CallTarget{ServiceName(Service), OperationName(Operation)};
}

void readCalls(JsonReader &Reader, OperationPolicy &Policy) {
  const nlohmann::json *Calls = Reader.find("calls", false);
  if (Calls == nullptr)
    return;
  if (!Calls->is_array()) {
    Reader.report(PolicyFault::WrongType, "calls", Calls,
                  "a list of \"service/operation\"");
    return;
  }
  for (std::size_t Index = 0; Index < Calls->size(); ++Index) {
    const std::optional<CallTarget> Target = parseCallTarget((*Calls)[Index]);
    if (Target)
      Policy.Calls.push_back(*Target);
    else
      Reader.report(PolicyFault::OutOfRange,
                    "calls[" + std::to_string(Index) + "]", &(*Calls)[Index],
                    "\"service/operation\"");
  }
}

std::string rankNames(const MeshPolicy &Mesh) {
  std::string Names;
  for (const RankPolicy &Rank : Mesh.Ranks)
    Names += (Names.empty() ? "" : ", ") + Rank.Name;
  return Names;
}

void readRank(JsonReader &Reader, OperationPolicy &Policy,
              const MeshPolicy &Mesh) {
  const std::optional<std::string> Name = Reader.name("rank", true);
  if (!Name)
    return;
  for (std::size_t Index = 0; Index < Mesh.Ranks.size(); ++Index)
    if (Mesh.Ranks[Index].Name == *Name) {
      Policy.Rank = Rank(static_cast<std::uint8_t>(Index));
      return;
    }
  const nlohmann::json Found = *Name;
  Reader.report(PolicyFault::UnknownName, "rank", &Found,
                "one of the ranks " + rankNames(Mesh));
}

OperationPolicy readOperation(const nlohmann::json &Value, std::string Path,
                              const MeshPolicy &Mesh, PolicyErrors &Errors) {
  JsonReader Reader(Value, std::move(Path), Errors);
  OperationPolicy Policy;
  readRank(Reader, Policy, Mesh);
  assign(Policy.Idempotent, Reader.boolean("idempotent", true));
  assignMillis(Policy.Deadline,
               Reader.integer("deadlineMs", 1, detail::MaxDeadlineMs, true));
  readCalls(Reader, Policy);
  Reader.reportUnknownFields();
  return Policy;
}

void readOperations(JsonReader &Reader, ServicePolicy &Policy,
                    const MeshPolicy &Mesh, PolicyErrors &Errors) {
  const nlohmann::json *Operations = Reader.find("operations", true);
  if (Operations == nullptr)
    return;
  if (!Operations->is_object()) {
    Reader.report(PolicyFault::WrongType, "operations", Operations,
                  "a JSON object");
    return;
  }
  for (const auto &Entry : Operations->items()) {
    const std::string Path = Reader.pathOf("operations." + Entry.key());
    if (!isValidName(Entry.key()))
      Errors.push_back({PolicyFault::OutOfRange, "", Path, "an invalid name",
                        "an operation name out of [a-zA-Z0-9._-]"});
    Policy.Operations[OperationName(Entry.key())] =
        readOperation(Entry.value(), Path, Mesh, Errors);
  }
}

nlohmann::json operationToJson(const OperationPolicy &Policy,
                               const MeshPolicy &Mesh) {
  assert(Policy.Rank.index() < Mesh.Ranks.size() && "the rank is defined");
  nlohmann::json Result = {{"rank", Mesh.Ranks[Policy.Rank.index()].Name},
                           {"idempotent", Policy.Idempotent},
                           {"deadlineMs", Policy.Deadline.wholeMillis()}};
  for (const CallTarget &Target : Policy.Calls)
    Result["calls"].push_back(Target.Service.string() + "/" +
                              Target.Operation.string());
  return Result;
}

} // namespace

std::variant<MeshPolicy, PolicyErrors> parseMeshPolicy(std::string_view Json) {
  PolicyErrors Errors;
  const nlohmann::json Root = detail::parseJson(Json, Errors);
  if (Root.is_discarded())
    return Errors;
  JsonReader Reader(Root, "", Errors);
  MeshPolicy Policy;
  readRanks(Reader, Policy, Errors);
  assign(Policy.MaxHops,
         Reader.integer("maxHops", 1, detail::MaxHopsUpperBound));
  assign(Policy.ExtraAttempts,
         Reader.integer("extraAttempts", 0, detail::MaxExtraAttempts));
  assign(Policy.RetryRatio, Reader.share("retryRatio"));
  assignMillis(Policy.KeyRetention,
               Reader.integer("keyRetentionMs", detail::MinRetentionMs,
                              detail::MaxRetentionMs));
  assignMillis(Policy.LogSilenceBound,
               Reader.integer("logSilenceBoundMs", detail::MinRetentionMs,
                              detail::MaxRetentionMs));
  readCallerShares(Reader, Policy, Errors);
  Reader.reportUnknownFields();
  if (Errors.empty())
    Errors = checkMeshPolicy(Policy);
  if (!Errors.empty())
    return Errors;
  return Policy;
}

std::variant<ServicePolicy, PolicyErrors>
parseServicePolicy(std::string_view Json, const MeshPolicy &Mesh) {
  PolicyErrors Errors;
  const nlohmann::json Root = detail::parseJson(Json, Errors);
  if (Root.is_discarded())
    return Errors;
  JsonReader Reader(Root, "", Errors);
  ServicePolicy Policy;
  const std::optional<std::string> Service = Reader.name("service", true);
  if (Service)
    Policy.Service = ServiceName(*Service);
  assign(Policy.Slots, Reader.integer("slots", 1, detail::MaxSlots, true));
  assign(Policy.Connections,
         Reader.integer("connections", 1, detail::MaxSlots, true));
  assign(Policy.QueueLimit, Reader.integer("queueLimit", 0, detail::MaxSlots));
  assign(Policy.CancelLowerRanks, Reader.boolean("cancelLowerRanks"));
  const std::optional<std::int64_t> LogSilenceBoundMs = Reader.integer(
      "logSilenceBoundMs", detail::MinRetentionMs, detail::MaxRetentionMs);
  if (LogSilenceBoundMs)
    Policy.LogSilenceBound = Duration::millis(*LogSilenceBoundMs);
  readOperations(Reader, Policy, Mesh, Errors);
  Reader.reportUnknownFields();
  if (!Errors.empty())
    return Errors;
  return Policy;
}

std::string toJson(const MeshPolicy &Policy) {
  nlohmann::json Ranks = nlohmann::json::array();
  for (const RankPolicy &Rank : Policy.Ranks)
    Ranks.push_back(
        {{"name", Rank.Name}, {"floor", Rank.Floor}, {"cap", Rank.Cap}});
  nlohmann::json Callers = nlohmann::json::object();
  for (const auto &Entry : Policy.CallerShares)
    Callers[Entry.first.string()] = Entry.second;
  const nlohmann::json Result = {
      {"ranks", Ranks},
      {"maxHops", Policy.MaxHops},
      {"extraAttempts", Policy.ExtraAttempts},
      {"retryRatio", Policy.RetryRatio},
      {"keyRetentionMs", Policy.KeyRetention.wholeMillis()},
      {"logSilenceBoundMs", Policy.LogSilenceBound.wholeMillis()},
      {"callerShares", Callers}};
  return Result.dump();
}

std::string toJson(const ServicePolicy &Policy, const MeshPolicy &Mesh) {
  nlohmann::json Operations = nlohmann::json::object();
  for (const auto &Entry : Policy.Operations)
    Operations[Entry.first.string()] = operationToJson(Entry.second, Mesh);
  nlohmann::json Result = {{"service", Policy.Service.string()},
                           {"slots", Policy.Slots},
                           {"connections", Policy.Connections},
                           {"queueLimit", Policy.QueueLimit},
                           {"cancelLowerRanks", Policy.CancelLowerRanks},
                           {"operations", Operations}};
  if (Policy.LogSilenceBound)
    Result["logSilenceBoundMs"] = Policy.LogSilenceBound->wholeMillis();
  return Result.dump();
}

} // namespace camphorpin
