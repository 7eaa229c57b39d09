#ifndef CAMPHORPIN_SRC_CONFIGURATION_CONFIGURATIONPEERS_H
#define CAMPHORPIN_SRC_CONFIGURATION_CONFIGURATIONPEERS_H

#include "camphorpin/Core.h"

#include <cstdint>
#include <span>

namespace camphorpin {

/// \class ConfigurationPeer
/// \brief Address and availability zone of a present member.
struct ConfigurationPeer {
  HostAddress Address;
  ZoneName Zone;
};

/// \class ConfigurationPeers
/// \brief The present members, as the owner of ConfigurationReplicator knows
/// them.
class ConfigurationPeers {
public:
  virtual ~ConfigurationPeers() = default;

  /// \returns a number that changes whenever peers() does.
  virtual std::uint64_t version() const = 0;

  /// \returns all present members; this node may be among them.
  virtual std::span<const ConfigurationPeer> peers() const = 0;
};

} // namespace camphorpin

#endif
