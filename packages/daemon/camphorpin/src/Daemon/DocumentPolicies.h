#ifndef CAMPHORPIN_SRC_DAEMON_DOCUMENTPOLICIES_H
#define CAMPHORPIN_SRC_DAEMON_DOCUMENTPOLICIES_H

#include "camphorpin/Engine.h"
#include "camphorpin/src/Daemon/JsonFields.h"

#include <map>
#include <string>
#include <vector>

namespace camphorpin {

/// \class DocumentPolicies
/// \brief The policies of the documents in the settings.
class DocumentPolicies final : public PolicySource {
public:
  /// \param Documents JSON texts by document name.
  /// \param Errors gets the faults found in them.
  DocumentPolicies(const std::map<std::string, std::string> &Documents,
                   std::vector<SettingsError> &Errors);

  const MeshPolicy &mesh() const override { return Mesh; }
  const ServicePolicy *service(const ServiceName &Name) const override;

private:
  void readMesh(const nlohmann::json &Value);
  void readService(const nlohmann::json &Value);
  OperationPolicy readOperation(const nlohmann::json &Value) const;

  MeshPolicy Mesh;
  std::map<ServiceName, ServicePolicy> Services;
};

} // namespace camphorpin

#endif
