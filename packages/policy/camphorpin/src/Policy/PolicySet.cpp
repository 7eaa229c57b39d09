#include "camphorpin/src/Policy/PolicySet.h"

#include "camphorpin/src/Policy/JsonReader.h"
#include "camphorpin/src/Policy/PolicyCheck.h"
#include "camphorpin/src/Policy/PolicyJson.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace camphorpin {

namespace {

constexpr std::string_view MeshDocument = "mesh";
constexpr std::string_view ServicePrefix = "service/";
constexpr int Indentation = 2;

/// Stores the policy of \p Result in \p Target, or appends the errors of
/// \p Result to \p Errors.
template <class Policy>
void storeOrAppendErrors(std::variant<Policy, PolicyErrors> Result,
                         const std::string &Document, Policy &Target,
                         PolicyErrors &Errors) {
  if (std::holds_alternative<Policy>(Result)) {
    Target = std::get<Policy>(std::move(Result));
    return;
  }
  for (PolicyError &Error : std::get<PolicyErrors>(Result)) {
    Error.Document = Document;
    Errors.push_back(std::move(Error));
  }
}

void readService(const std::string &Document, const nlohmann::json &Value,
                 PolicySet &Policies, PolicyErrors &Errors) {
  ServicePolicy Policy;
  const std::size_t ErrorsBefore = Errors.size();
  storeOrAppendErrors(parseServicePolicy(Value.dump(), Policies.Mesh), Document,
                      Policy, Errors);
  if (Errors.size() != ErrorsBefore)
    return;
  if (documentNameOf(Policy) != Document)
    Errors.push_back({PolicyFault::Inconsistent, Document, "service",
                      Policy.Service.string(), "the name in " + Document});
  Policies.Services.push_back(std::move(Policy));
}

} // namespace

std::variant<PolicySet, PolicyErrors> parsePolicySet(std::string_view Json) {
  PolicyErrors Errors;
  const nlohmann::json Root = detail::parseJson(Json, Errors);
  if (Root.is_discarded())
    return Errors;
  detail::JsonReader Reader(Root, "", Errors);
  PolicySet Policies;
  const nlohmann::json *Mesh = Reader.find(MeshDocument, true);
  if (Mesh == nullptr)
    return Errors;
  storeOrAppendErrors(parseMeshPolicy(Mesh->dump()), std::string(MeshDocument),
                      Policies.Mesh, Errors);
  for (const auto &Entry : Root.items()) {
    if (!Entry.key().starts_with(ServicePrefix))
      continue;
    Reader.find(Entry.key(), false);
    readService(Entry.key(), Entry.value(), Policies, Errors);
  }
  Reader.reportUnknownFields();
  if (Errors.empty())
    Errors = checkPolicies(Policies.Mesh, Policies.Services);
  if (!Errors.empty())
    return Errors;
  return Policies;
}

std::string toJson(const PolicySet &Policies) {
  nlohmann::json Result = {
      {MeshDocument, nlohmann::json::parse(toJson(Policies.Mesh))}};
  for (const ServicePolicy &Service : Policies.Services)
    Result[documentNameOf(Service)] =
        nlohmann::json::parse(toJson(Service, Policies.Mesh));
  return Result.dump(Indentation) + "\n";
}

std::string documentNameOf(const ServicePolicy &Policy) {
  return std::string(ServicePrefix) + Policy.Service.string();
}

} // namespace camphorpin
