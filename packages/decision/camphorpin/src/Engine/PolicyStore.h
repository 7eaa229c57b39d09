#ifndef CAMPHORPIN_SRC_ENGINE_POLICYSTORE_H
#define CAMPHORPIN_SRC_ENGINE_POLICYSTORE_H

#include "camphorpin/Policy.h"
#include "camphorpin/src/Engine/PolicySource.h"

#include <map>
#include <string>
#include <string_view>

namespace camphorpin::detail {

/// \class PolicyStore
/// \brief The policies in force: those of the settings until the log supplies
/// newer ones. Bounded by the documents of the fold.
class PolicyStore final : public PolicySource {
public:
  explicit PolicyStore(const PolicySet &Initial);

  const MeshPolicy &mesh() const override { return Mesh; }
  const ServicePolicy *service(const ServiceName &Name) const override;

  /// Takes over a policy document. A faulty one leaves the policy in force.
  /// \returns the faults, one line each; empty if it is in force now.
  std::string apply(const DocumentName &Name, std::string_view Content);

private:
  std::string applyMesh(std::string_view Content);
  std::string applyService(std::string_view Content);

  MeshPolicy Mesh;
  std::map<ServiceName, ServicePolicy> Services;
  /// The documents of services, which refer to ranks of the mesh.
  std::map<DocumentName, std::string> ServiceDocuments;
};

} // namespace camphorpin::detail

#endif
