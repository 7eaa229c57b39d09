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
/// \brief The fields of MeshPolicy except ranks and caller shares.
struct MeshLimits {
  std::uint8_t MaxHops = 11;
  std::uint8_t ExtraAttempts = 3;
  Share RetryRatio = Share(0.1);
  Duration KeyRetention = Duration::seconds(3600);
  Duration LogSilenceBound = Duration::seconds(12 * 3600);
};

/// \class ServiceSizes
/// \brief The fields of ServicePolicy except its name and operations.
struct ServiceSizes {
  std::uint32_t Slots = 1;
  std::uint32_t Connections = 1;
  std::uint32_t QueueLimit = 0;
  bool CancelLowerRanks = false;
  std::optional<Duration> LogSilenceBound;
};

/// \class ServiceRef
/// \brief A reference to a service that is defined in a PolicyBuilder.
class ServiceRef {
  friend class PolicyBuilder;
  explicit ServiceRef(std::size_t Index) : Index(Index) {}
  std::size_t Index;
};

/// \class OperationRef
/// \brief A reference to an operation that is defined in a PolicyBuilder.
class OperationRef {
  friend class PolicyBuilder;
  explicit OperationRef(CallTarget Target) : Target(std::move(Target)) {}
  CallTarget Target;
};

/// \class PolicyBuilder
/// \brief Builds the policies of a mesh and validates them together.
class PolicyBuilder {
public:
  /// \param Ranks the ranks of the mesh.
  template <std::size_t Count>
  explicit PolicyBuilder(const RankTable<Count> &Ranks,
                         const MeshLimits &Limits = {})
      : PolicyBuilder(Ranks.specs(), Limits) {}

  /// Sets the weight of a caller among the requests of a rank. It is the same
  /// for all ranks; the default is 1.
  PolicyBuilder &callerShare(NameLiteral Caller, std::uint32_t Weight);

  /// Defines a service.
  ServiceRef service(NameLiteral Name, const ServiceSizes &Sizes);

  /// Defines an operation that may be executed more than once.
  /// \param Deadline default and maximum of the deadline that a caller may set.
  /// \param Calls the operations that this operation calls.
  OperationRef idempotent(ServiceRef Service, NameLiteral Name,
                          Rank OperationRank, Duration Deadline,
                          std::initializer_list<OperationRef> Calls = {});

  /// Defines an operation that is executed at most once per key.
  OperationRef nonIdempotent(ServiceRef Service, NameLiteral Name,
                             Rank OperationRank, Duration Deadline,
                             std::initializer_list<OperationRef> Calls = {});

  /// \returns the policies, or all errors that can only be detected at run
  /// time. A duplicate definition is reported alone, without the checks between
  /// operations.
  std::variant<PolicySet, PolicyErrors> build() const;

private:
  PolicyBuilder(std::span<const RankSpec> Ranks, const MeshLimits &Limits);

  OperationRef addOperation(ServiceRef Service, NameLiteral Name,
                            OperationPolicy Policy,
                            std::initializer_list<OperationRef> Calls);

  PolicySet Policies;
  /// Duplicate definitions, detected while the policies are built.
  PolicyErrors Errors;
};

/// Prints the documents to the standard output, or the errors to the standard
/// error stream.
/// \returns the exit code for main(): 0, or 1 on errors.
int printPolicies(const std::variant<PolicySet, PolicyErrors> &Policies);

} // namespace camphorpin

#endif
