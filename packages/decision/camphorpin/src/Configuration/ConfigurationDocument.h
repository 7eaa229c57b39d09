#ifndef CAMPHORPIN_SRC_CONFIGURATION_CONFIGURATIONDOCUMENT_H
#define CAMPHORPIN_SRC_CONFIGURATION_CONFIGURATIONDOCUMENT_H

#include "camphorpin/Core.h"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorpin {

/// \class ConfigurationDocument
/// \brief A document in force.
struct ConfigurationDocument {
  DocumentName Name;
  /// The number of accepted changes.
  std::uint64_t Version = 0;
  /// Canonical JSON.
  std::string Content;
  /// The ids of the latest accepted changes, newest last; at most MaxChangeIds.
  std::vector<std::string> ChangeIds;

  auto operator<=>(const ConfigurationDocument &) const = default;

  /// \returns a hash that is the same on every node.
  std::uint64_t stableHash() const;
};

} // namespace camphorpin

#endif
