#ifndef CAMPHORPIN_SRC_POLICY_POLICYSET_H
#define CAMPHORPIN_SRC_POLICY_POLICYSET_H

#include "camphorpin/src/Policy/MeshPolicy.h"
#include "camphorpin/src/Policy/PolicyError.h"
#include "camphorpin/src/Policy/ServicePolicy.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace camphorpin {

/// \class PolicySet
/// \brief All policy documents of one mesh.
struct PolicySet {
  MeshPolicy Mesh;
  /// In the order of their names.
  std::vector<ServicePolicy> Services;
};

/// Reads all documents from one JSON object with comments, whose fields are the
/// names of the documents ("mesh", "service/<name>"), and checks them one by
/// one and against each other.
/// \returns the policies, or all errors. Errors between documents are looked
/// for once each document is free of errors.
std::variant<PolicySet, PolicyErrors> parsePolicySet(std::string_view Json);

/// \returns the form that parsePolicySet() reads, indented for readers. Equal
/// policies give equal text.
std::string toJson(const PolicySet &Policies);

/// \returns for example "service/orders".
std::string documentNameOf(const ServicePolicy &Policy);

} // namespace camphorpin

#endif
