#ifndef CAMPHORPIN_SRC_ENGINE_POLICYSTORE_H
#define CAMPHORPIN_SRC_ENGINE_POLICYSTORE_H

#include "camphorpin/Policy.h"
#include "camphorpin/src/Engine/PolicySource.h"

#include <map>
#include <string>
#include <string_view>

namespace camphorpin::detail {

/// \class PolicyStore
/// \brief Stores the policies in force, which are those of the settings until
/// the log supplies newer ones. Bounded by the documents of ConfigurationFold.
class PolicyStore final : public PolicySource {
public:
  explicit PolicyStore(const PolicySet &Initial);

  const MeshPolicy &mesh() const override { return Mesh; }
  const ServicePolicy *service(const ServiceName &Name) const override;

  /// Applies a policy document. If it is invalid, the previous policy stays in
  /// force.
  /// \returns the faults, one per line, or an empty string.
  std::string apply(const DocumentName &Name, std::string_view Content);

private:
  std::string applyMesh(std::string_view Content);
  std::string applyService(std::string_view Content);

  MeshPolicy Mesh;
  std::map<ServiceName, ServicePolicy> Services;
  /// The policy documents of the services. They are parsed again whenever the
  /// mesh policy changes, because they refer to its ranks.
  std::map<DocumentName, std::string> ServiceDocuments;
};

} // namespace camphorpin::detail

#endif
