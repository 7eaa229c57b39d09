#ifndef CAMPHORPIN_SRC_POLICY_POLICYCHECK_H
#define CAMPHORPIN_SRC_POLICY_POLICYCHECK_H

#include "camphorpin/src/Policy/MeshPolicy.h"
#include "camphorpin/src/Policy/PolicyError.h"
#include "camphorpin/src/Policy/ServicePolicy.h"

#include <span>

namespace camphorpin {

/// Checks the rules between fields of the document "mesh": 1 to 8 ranks with
/// distinct names, each floor at most its cap, a cap above 0, floors that sum
/// to at most 1.
/// \returns all errors.
PolicyErrors checkMeshPolicy(const MeshPolicy &Policy);

/// Checks the rules between documents: calls name existing services and
/// operations, the call graph has no cycle, no chain has more calls than
/// MeshPolicy::MaxHops (the first call of the outside caller counts), and a
/// called operation's deadline is at most its caller's.
/// \pre each document passed its own check.
/// \returns all errors.
PolicyErrors checkPolicies(const MeshPolicy &Mesh,
                           std::span<const ServicePolicy> Services);

} // namespace camphorpin

#endif
