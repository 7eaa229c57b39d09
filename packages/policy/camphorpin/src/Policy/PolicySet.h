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
  /// Sorted by name if parsed, in the order of definition if built.
  std::vector<ServicePolicy> Services;
};

/// Parses all documents from one JSON object with comments, whose keys are the
/// names of the documents ("mesh", "service/<name>"), and validates each
/// document and the constraints between documents. \returns the policies, or
/// all errors. Constraints between documents are only checked if each document
/// is valid by itself.
std::variant<PolicySet, PolicyErrors> parsePolicySet(std::string_view Json);

/// \returns indented JSON that parsePolicySet() accepts. Equal policies have
/// equal text.
std::string toJson(const PolicySet &Policies);

/// \returns the name of the document, for example "service/orders".
std::string documentNameOf(const ServicePolicy &Policy);

} // namespace camphorpin

#endif
