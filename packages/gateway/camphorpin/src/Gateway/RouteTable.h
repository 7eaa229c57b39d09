#ifndef CAMPHORPIN_SRC_GATEWAY_ROUTETABLE_H
#define CAMPHORPIN_SRC_GATEWAY_ROUTETABLE_H

#include "camphorpin/src/Gateway/FleetConfiguration.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpin {

/// \class RouteTable
/// \brief Selects the route of a request by host and longest path prefix.
class RouteTable {
public:
  /// Replaces all routes.
  void assign(const std::vector<RouteRule> &Routes);

  /// \param Host the value of the Host header; a port is ignored.
  /// \param Target the request target; its query is ignored.
  /// \returns the matching route, or null.
  std::shared_ptr<const RouteRule> match(std::string_view Host,
                                         std::string_view Target) const;

private:
  /// The routes of a host, longest prefix first.
  using HostRoutes = std::vector<std::shared_ptr<const RouteRule>>;

  std::map<std::string, HostRoutes, std::less<>> Hosts;
};

} // namespace camphorpin

#endif
