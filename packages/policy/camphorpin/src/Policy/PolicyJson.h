#ifndef CAMPHORPIN_SRC_POLICY_POLICYJSON_H
#define CAMPHORPIN_SRC_POLICY_POLICYJSON_H

#include "camphorpin/src/Policy/MeshPolicy.h"
#include "camphorpin/src/Policy/PolicyError.h"
#include "camphorpin/src/Policy/ServicePolicy.h"

#include <string>
#include <string_view>
#include <variant>

namespace camphorpin {

/// Parses the document "mesh" from JSON with comments. "ranks" is required;
/// other missing fields have the defaults of MeshPolicy. \returns the policy,
/// or all errors of the document.
std::variant<MeshPolicy, PolicyErrors> parseMeshPolicy(std::string_view Json);

/// Parses a document "service/<name>" from JSON with comments.
/// \param Mesh defines the ranks to which the document refers by name.
/// \returns the policy, or all errors of the document.
std::variant<ServicePolicy, PolicyErrors>
parseServicePolicy(std::string_view Json, const MeshPolicy &Mesh);

/// \returns canonical JSON: sorted keys, no white space, no comments. Equal
/// policies have equal text.
std::string toJson(const MeshPolicy &Policy);

/// \overload
/// \param Mesh defines the names of the ranks.
/// \pre each rank of \p Policy is defined by \p Mesh.
std::string toJson(const ServicePolicy &Policy, const MeshPolicy &Mesh);

} // namespace camphorpin

#endif
