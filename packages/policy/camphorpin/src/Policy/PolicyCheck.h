#ifndef CAMPHORPIN_SRC_POLICY_POLICYCHECK_H
#define CAMPHORPIN_SRC_POLICY_POLICYCHECK_H

#include "camphorpin/src/Policy/MeshPolicy.h"
#include "camphorpin/src/Policy/PolicyError.h"
#include "camphorpin/src/Policy/ServicePolicy.h"

#include <span>

namespace camphorpin {

/// Checks the constraints between fields of the document "mesh": there are 1 to
/// 8 ranks with distinct names, each cap is above 0, each floor is at most its
/// cap, and the sum of the floors is at most 1. \returns all errors.
PolicyErrors checkMeshPolicy(const MeshPolicy &Policy);

/// Checks the constraints between documents: calls refer to existing services
/// and operations, the call graph is acyclic, no chain has more calls than
/// MeshPolicy::MaxHops (including the call of the external caller), and the
/// deadline of an operation is at most that of each operation that calls it.
/// \pre each document is valid by itself.
/// \returns all errors.
PolicyErrors checkPolicies(const MeshPolicy &Mesh,
                           std::span<const ServicePolicy> Services);

} // namespace camphorpin

#endif
