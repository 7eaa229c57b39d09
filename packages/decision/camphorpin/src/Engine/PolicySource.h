#ifndef CAMPHORPIN_SRC_ENGINE_POLICYSOURCE_H
#define CAMPHORPIN_SRC_ENGINE_POLICYSOURCE_H

#include "camphorpin/Policy.h"

namespace camphorpin {

/// \class PolicySource
/// \brief Provides the policies in force.
class PolicySource {
public:
  virtual ~PolicySource() = default;

  virtual const MeshPolicy &mesh() const = 0;

  /// \returns the policy of a service, or null if there is none. It is valid
  /// until the next change of a document.
  virtual const ServicePolicy *service(const ServiceName &Name) const = 0;
};

} // namespace camphorpin

#endif
