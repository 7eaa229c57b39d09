#ifndef CAMPHORPIN_SRC_GATEWAY_FLEETCONFIGURATION_H
#define CAMPHORPIN_SRC_GATEWAY_FLEETCONFIGURATION_H

#include "camphorpin/Core.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace camphorpin {

/// \class ServiceShare
/// \brief The share of a route's requests that a service receives.
struct ServiceShare {
  std::string Service;
  std::uint32_t Weight = 1;
};

/// \class RouteRule
/// \brief The operator's settings for requests of one host and path prefix.
struct RouteRule {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  /// A non-idempotent request runs at most once.
  bool Idempotent = false;
  /// Maximum time until the final answer.
  Duration Timeout = Duration::seconds(30);
  /// Latency objective.
  Duration Objective = Duration::seconds(1);
  /// Maximum number of backend servers to which one request may be sent.
  std::uint32_t MaxAttempts = 1;
  /// 0 is the most urgent.
  std::uint8_t Rank = 0;
  /// Empty if the route is unreadable; its requests are then refused.
  std::vector<ServiceShare> Shares;
};

/// \class ServiceRule
/// \brief The operator's settings for the backend servers of a service.
struct ServiceRule {
  std::string Name;
  std::string HealthPath = "/health";
  /// Part of the configuration; the node does not enforce it.
  std::uint32_t MaxConnections = 100;
};

/// \class RequestLimits
/// \brief Limits on the requests of a caller.
struct RequestLimits {
  std::size_t HeaderBytes = 16384;
  std::size_t BodyBytes = 64U << 20U;
  Duration HeaderTimeout = Duration::seconds(3);
  Duration IdleTimeout = Duration::seconds(15);
};

/// \class FleetConfiguration
/// \brief One complete version of the operator's configuration.
struct FleetConfiguration {
  /// Increases with each change; 0 before the first configuration is known.
  std::uint64_t Version = 0;
  std::vector<RouteRule> Routes;
  std::vector<ServiceRule> Services;
  RequestLimits Limits;
  /// Parts of the document that are unreadable or have an unknown meaning, for
  /// the log. The other parts are in force.
  std::vector<std::string> Problems;
  /// The published document, forwarded to peers unchanged.
  std::string Document;
};

} // namespace camphorpin

#endif
