#ifndef CAMPHORPIN_SRC_GATEWAY_TRAFFICSPLIT_H
#define CAMPHORPIN_SRC_GATEWAY_TRAFFICSPLIT_H

#include "camphorpin/Core.h"
#include "camphorpin/src/Gateway/FleetConfiguration.h"

#include <map>
#include <string>
#include <vector>

namespace camphorpin {

/// \class TrafficSplit
/// \brief Divides the requests of each route among its services by weight.
///
/// Uses smooth weighted round robin: in any interval the counts deviate from
/// the weights by less than one request per service, so short windows match
/// too.
class TrafficSplit {
public:
  explicit TrafficSplit(Random &RandomSource) : RandomSource(RandomSource) {}

  /// \param Route must have at least one share.
  /// \returns the service of the next request on \p Route.
  const std::string &next(const RouteRule &Route);

  /// Resets all routes, after a change of the configuration.
  void clear() { Credits.clear(); }

private:
  Random &RandomSource;
  /// One credit per share of the route. Initialized at random, so that nodes
  /// with little traffic don't all start with the same service.
  std::map<std::string, std::vector<double>> Credits;
};

} // namespace camphorpin

#endif
