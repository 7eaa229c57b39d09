#include "camphorpin/src/PolicyBuilder/PolicyBuilder.h"

#include <algorithm>
#include <iostream>
#include <string>
#include <utility>

namespace camphorpin {

PolicyBuilder::PolicyBuilder(std::span<const RankSpec> Ranks,
                             const MeshLimits &Limits) {
  MeshPolicy &Mesh = Policies.Mesh;
  for (const RankSpec &Spec : Ranks)
    Mesh.Ranks.push_back({std::string(Spec.name()), Spec.floor(), Spec.cap()});
  Mesh.MaxHops = Limits.MaxHops;
  Mesh.ExtraAttempts = Limits.ExtraAttempts;
  Mesh.RetryRatio = Limits.RetryRatio.value();
  Mesh.KeyRetention = Limits.KeyRetention;
  Mesh.LogSilenceBound = Limits.LogSilenceBound;
}

PolicyBuilder &PolicyBuilder::callerShare(NameLiteral Caller,
                                          std::uint32_t Weight) {
  Policies.Mesh.CallerShares[CallerName(Caller.view())] = Weight;
  return *this;
}

ServiceRef PolicyBuilder::service(NameLiteral Name, const ServiceSizes &Sizes) {
  ServicePolicy Policy;
  Policy.Service = ServiceName(Name.view());
  Policy.Slots = Sizes.Slots;
  Policy.Connections = Sizes.Connections;
  Policy.QueueLimit = Sizes.QueueLimit;
  Policy.CancelLowerRanks = Sizes.CancelLowerRanks;
  Policy.LogSilenceBound = Sizes.LogSilenceBound;
  for (const ServicePolicy &Other : Policies.Services)
    if (Other.Service == Policy.Service)
      Errors.push_back({PolicyFault::Inconsistent, documentNameOf(Policy),
                        "service", "defined twice", "one definition"});
  Policies.Services.push_back(std::move(Policy));
  return ServiceRef(Policies.Services.size() - 1);
}

OperationRef
PolicyBuilder::idempotent(ServiceRef Service, NameLiteral Name,
                          Rank OperationRank, Duration Deadline,
                          std::initializer_list<OperationRef> Calls) {
  return addOperation(Service, Name, {OperationRank, true, Deadline, {}},
                      Calls);
}

OperationRef
PolicyBuilder::nonIdempotent(ServiceRef Service, NameLiteral Name,
                             Rank OperationRank, Duration Deadline,
                             std::initializer_list<OperationRef> Calls) {
  return addOperation(Service, Name, {OperationRank, false, Deadline, {}},
                      Calls);
}

OperationRef
PolicyBuilder::addOperation(ServiceRef Service, NameLiteral Name,
                            OperationPolicy Policy,
                            std::initializer_list<OperationRef> Calls) {
  ServicePolicy &Owner = Policies.Services.at(Service.Index);
  for (const OperationRef &Callee : Calls)
    Policy.Calls.push_back(Callee.Target);
  const OperationName Operation(Name.view());
  if (Owner.Operations.contains(Operation))
    Errors.push_back({PolicyFault::Inconsistent, documentNameOf(Owner),
                      "operations." + Operation.string(), "defined twice",
                      "one definition"});
  Owner.Operations[Operation] = std::move(Policy);
  return OperationRef({Owner.Service, Operation});
}

std::variant<PolicySet, PolicyErrors> PolicyBuilder::build() const {
  if (!Errors.empty())
    return Errors;
  // Parsing the serialized policies applies the same checks as to a JSON file.
  return parsePolicySet(toJson(Policies));
}

int printPolicies(const std::variant<PolicySet, PolicyErrors> &Policies) {
  if (std::holds_alternative<PolicyErrors>(Policies)) {
    std::cerr << toString(std::get<PolicyErrors>(Policies));
    return 1;
  }
  std::cout << toJson(std::get<PolicySet>(Policies));
  return 0;
}

} // namespace camphorpin
