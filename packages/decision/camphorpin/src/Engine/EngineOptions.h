#ifndef CAMPHORPIN_SRC_ENGINE_ENGINEOPTIONS_H
#define CAMPHORPIN_SRC_ENGINE_ENGINEOPTIONS_H

#include "camphorpin/Core.h"
#include "camphorpin/Policy.h"

#include <cstddef>
#include <vector>

namespace camphorpin {

/// \class ConfiguredPeer
/// \brief A node that the settings name.
struct ConfiguredPeer {
  HostAddress Address;
  /// Empty for a node without a backend server.
  ServiceName Service;
  ZoneName Zone;
  RegionName Region;
};

/// \class EngineOptions
/// \brief What a node knows of itself when it starts.
struct EngineOptions {
  ProcessId Self;
  /// Empty for a node without a backend server.
  ServiceName Service;
  ZoneName Zone;
  RegionName Region;
  std::vector<ConfiguredPeer> Peers;
  /// In force until the log supplies other policies.
  PolicySet Policies;
  /// The platform's log can be used.
  bool HasLog = false;
  /// How long the log keeps records.
  Duration LogRetention = Duration::seconds(24 * 3600);
  /// Requests in progress, as ingress node and beside the backend server
  /// together. More are refused with NodeBusy. It bounds the engine's memory.
  std::size_t MaxRequests = 16384;
};

} // namespace camphorpin

#endif
