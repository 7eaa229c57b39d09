#include "camphorpin/src/Engine/PolicyStore.h"

#include <utility>
#include <variant>

namespace camphorpin::detail {

PolicyStore::PolicyStore(const PolicySet &Initial) : Mesh(Initial.Mesh) {
  for (const ServicePolicy &Policy : Initial.Services)
    Services[Policy.Service] = Policy;
}

const ServicePolicy *PolicyStore::service(const ServiceName &Name) const {
  const auto Found = Services.find(Name);
  return Found != Services.end() ? &Found->second : nullptr;
}

std::string PolicyStore::apply(const DocumentName &Name,
                               std::string_view Content) {
  if (Name.view() == "mesh")
    return applyMesh(Content);
  ServiceDocuments[Name] = Content;
  return applyService(Content);
}

std::string PolicyStore::applyMesh(std::string_view Content) {
  std::variant<MeshPolicy, PolicyErrors> Result = parseMeshPolicy(Content);
  if (const PolicyErrors *Errors = std::get_if<PolicyErrors>(&Result))
    return toString(*Errors);
  Mesh = std::get<MeshPolicy>(std::move(Result));
  // A service document may refer to a rank that was not defined before.
  std::string Faults;
  for (const auto &[Name, Text] : ServiceDocuments)
    Faults += applyService(Text);
  return Faults;
}

std::string PolicyStore::applyService(std::string_view Content) {
  std::variant<ServicePolicy, PolicyErrors> Result =
      parseServicePolicy(Content, Mesh);
  if (const PolicyErrors *Errors = std::get_if<PolicyErrors>(&Result))
    return toString(*Errors);
  ServicePolicy Policy = std::get<ServicePolicy>(std::move(Result));
  const ServiceName Name = Policy.Service;
  Services[Name] = std::move(Policy);
  return {};
}

} // namespace camphorpin::detail
