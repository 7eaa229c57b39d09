#ifndef CAMPHORPIN_SRC_POLICYBUILDER_POLICYBUILDER_H
#define CAMPHORPIN_SRC_POLICYBUILDER_POLICYBUILDER_H

#include "camphorpin/Policy.h"
#include "camphorpin/src/PolicyBuilder/NameLiteral.h"
#include "camphorpin/src/PolicyBuilder/RankTable.h"

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace camphorpin {

/// \class MeshLimits
/// \brief The fields of MeshPolicy beside ranks and callers.
struct MeshLimits {
  std::uint8_t MaxHops = 11;
  std::uint8_t ExtraAttempts = 3;
  Share RetryRatio = Share(0.1);
  Duration KeyRetention = Duration::seconds(3600);
  Duration LogSilenceBound = Duration::seconds(12 * 3600);
};

/// \class ServiceSizes
/// \brief The fields of ServicePolicy beside its name and operations.
struct ServiceSizes {
  std::uint32_t Slots = 1;
  std::uint32_t Connections = 1;
  std::uint32_t QueueLimit = 0;
  bool CancelLowerRanks = false;
  std::optional<Duration> LogSilenceBound;
};

/// \class ServiceRef
/// \brief A service that a PolicyBuilder has defined.
class ServiceRef {
  friend class PolicyBuilder;
  explicit ServiceRef(std::size_t Index) : Index(Index) {}
  std::size_t Index;
};

/// \class OperationRef
/// \brief An operation that a PolicyBuilder has defined.
class OperationRef {
  friend class PolicyBuilder;
  explicit OperationRef(CallTarget Target) : Target(std::move(Target)) {}
  CallTarget Target;
};

/// \class PolicyBuilder
/// \brief Collects the policies of a mesh and checks them as a whole.
class PolicyBuilder {
public:
  /// \param Ranks the ranks of the mesh.
  template <std::size_t Count>
  explicit PolicyBuilder(const RankTable<Count> &Ranks,
                         const MeshLimits &Limits = {})
      : PolicyBuilder(Ranks.specs(), Limits) {}

  /// Gives a caller a weight within its rank; other callers weigh 1.
  PolicyBuilder &callerShare(NameLiteral Caller, std::uint32_t Weight);

  /// Defines a service.
  ServiceRef service(NameLiteral Name, const ServiceSizes &Sizes);

  /// Defines an operation that may be executed more than once.
  /// \param Deadline used when the caller states none, and the longest.
  /// \param Calls the operations that it calls.
  OperationRef idempotent(ServiceRef Service, NameLiteral Name, Rank Urgency,
                          Duration Deadline,
                          std::initializer_list<OperationRef> Calls = {});

  /// Defines an operation that runs at most once for a key.
  OperationRef nonIdempotent(ServiceRef Service, NameLiteral Name, Rank Urgency,
                             Duration Deadline,
                             std::initializer_list<OperationRef> Calls = {});

  /// \returns the policies, or all errors that only show in the whole.
  std::variant<PolicySet, PolicyErrors> build() const;

private:
  PolicyBuilder(std::span<const RankSpec> Ranks, const MeshLimits &Limits);

  OperationRef addOperation(ServiceRef Service, NameLiteral Name,
                            OperationPolicy Policy,
                            std::initializer_list<OperationRef> Calls);

  PolicySet Policies;
  /// Faults that are only found at run time, such as a repeated name.
  PolicyErrors Errors;
};

/// Prints the documents, or the errors to the standard error stream.
/// \returns the exit code of a program that prints a policy: 0 or 1.
int printPolicies(const std::variant<PolicySet, PolicyErrors> &Policies);

} // namespace camphorpin

#endif
