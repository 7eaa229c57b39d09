#ifndef CAMPHORPIN_SRC_POLICY_POLICYERROR_H
#define CAMPHORPIN_SRC_POLICY_POLICYERROR_H

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace camphorpin {

/// \brief The kind of an error in a policy document.
enum class PolicyFault : std::uint8_t {
  /// The text is not valid JSON, or it is nested too deeply.
  Syntax,
  /// The field is unknown or duplicated.
  UnknownField,
  /// A required field is missing.
  MissingField,
  /// The value has the wrong JSON type.
  WrongType,
  /// The value is outside the allowed range.
  OutOfRange,
  /// The value refers to a name that does not exist.
  UnknownName,
  /// Fields or documents contradict each other.
  Inconsistent,
};

/// \class PolicyError
/// \brief An error in a policy document.
struct PolicyError {
  PolicyFault Fault = PolicyFault::Syntax;
  /// The document, for example "mesh" or "service/orders"; empty if only one
  /// document was parsed.
  std::string Document;
  /// The field, for example "operations.pay.deadlineMs" or "ranks[1].floor".
  std::string Path;
  /// The invalid value as JSON, "missing", or a description of the error.
  std::string Found;
  /// The allowed values.
  std::string Allowed;

  /// \returns for example "mesh: ranks[1].floor is 2, allowed is a share from
  /// 0 to 1".
  std::string toString() const;
};

using PolicyErrors = std::vector<PolicyError>;

/// \returns the error messages, one per line.
std::string toString(std::span<const PolicyError> Errors);

} // namespace camphorpin

#endif
