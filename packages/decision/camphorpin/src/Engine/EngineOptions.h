#ifndef CAMPHORPIN_SRC_ENGINE_ENGINEOPTIONS_H
#define CAMPHORPIN_SRC_ENGINE_ENGINEOPTIONS_H

#include "camphorpin/Core.h"
#include "camphorpin/Policy.h"

#include <cstddef>
#include <vector>

namespace camphorpin {

/// \class ConfiguredPeer
/// \brief A node that is named in the settings.
struct ConfiguredPeer {
  HostAddress Address;
  /// Empty for a node without a backend server.
  ServiceName Service;
  ZoneName Zone;
  RegionName Region;
};

/// \class EngineOptions
/// \brief The options of a node at startup.
struct EngineOptions {
  ProcessId Self;
  /// Empty for a node without a backend server.
  ServiceName Service;
  ZoneName Zone;
  RegionName Region;
  std::vector<ConfiguredPeer> Peers;
  /// The policies in force until the log supplies others.
  PolicySet Policies;
  /// The platform's log is available.
  bool HasLog = false;
  /// How long the log keeps records.
  Duration LogRetention = Duration::seconds(24 * 3600);
  /// Maximum number of requests in progress. Counts both the requests that
  /// entered the mesh here and the calls served for other nodes. Further
  /// requests are refused with NodeBusy. The limit bounds the memory of the
  /// engine.
  std::size_t MaxRequests = 16384;
};

} // namespace camphorpin

#endif
