#ifndef CAMPHORPIN_SRC_POLICY_POLICYJSON_H
#define CAMPHORPIN_SRC_POLICY_POLICYJSON_H

#include "camphorpin/src/Policy/MeshPolicy.h"
#include "camphorpin/src/Policy/PolicyError.h"
#include "camphorpin/src/Policy/ServicePolicy.h"

#include <string>
#include <string_view>
#include <variant>

namespace camphorpin {

/// Reads the document "mesh" from JSON with comments. Fields that are left out
/// have the default of the struct; "ranks" is required.
/// \returns the policy, or all errors of the document.
std::variant<MeshPolicy, PolicyErrors> parseMeshPolicy(std::string_view Json);

/// Reads a document "service/<name>" from JSON with comments.
/// \param Mesh resolves the names of ranks.
/// \returns the policy, or all errors of the document.
std::variant<ServicePolicy, PolicyErrors>
parseServicePolicy(std::string_view Json, const MeshPolicy &Mesh);

/// \returns canonical JSON: sorted keys, no white space, no comments. Equal
/// policies give equal text.
std::string toJson(const MeshPolicy &Policy);

/// \overload
/// \param Mesh gives the names of ranks.
/// \pre each rank of \p Policy is defined by \p Mesh.
std::string toJson(const ServicePolicy &Policy, const MeshPolicy &Mesh);

} // namespace camphorpin

#endif
