#ifndef CAMPHORPIN_SRC_POLICY_POLICYERROR_H
#define CAMPHORPIN_SRC_POLICY_POLICYERROR_H

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace camphorpin {

/// \brief The kind of a fault in a policy document.
enum class PolicyFault : std::uint8_t {
  /// The text is not JSON.
  Syntax,
  /// The field is not known, or it occurs twice.
  UnknownField,
  /// A required field is missing.
  MissingField,
  /// The value has the wrong JSON type.
  WrongType,
  /// The value is outside the allowed range.
  OutOfRange,
  /// The value names something that does not exist.
  UnknownName,
  /// The documents contradict each other.
  Inconsistent,
};

/// \class PolicyError
/// \brief One fault in a policy document.
struct PolicyError {
  PolicyFault Fault = PolicyFault::Syntax;
  /// For example "mesh" or "service/orders"; empty if there is only one.
  std::string Document;
  /// For example "operations.pay.deadlineMs" or "ranks[1].floor".
  std::string Path;
  /// The value as JSON, or "missing".
  std::string Found;
  /// What is allowed instead.
  std::string Allowed;

  /// \returns for example "mesh: ranks[1].floor is 2, allowed is a share from
  /// 0 to 1".
  std::string toString() const;
};

using PolicyErrors = std::vector<PolicyError>;

/// \returns one line for each error.
std::string toString(std::span<const PolicyError> Errors);

} // namespace camphorpin

#endif
