#include "camphorpin/src/Gateway/TrafficSplit.h"

#include <cassert>

namespace camphorpin {

const std::string &TrafficSplit::next(const RouteRule &Route) {
  assert(!Route.Shares.empty() && "a route has at least one service");
  if (Route.Shares.size() == 1)
    return Route.Shares.front().Service;
  double Total = 0;
  for (const ServiceShare &Share : Route.Shares)
    Total += Share.Weight;
  std::vector<double> &Credit = Credits[Route.Name];
  if (Credit.size() != Route.Shares.size()) {
    Credit.assign(Route.Shares.size(), 0);
    for (double &Value : Credit)
      Value = RandomSource.uniform01() * Total;
  }
  std::size_t Best = 0;
  for (std::size_t Index = 0; Index < Credit.size(); ++Index) {
    Credit[Index] += Route.Shares[Index].Weight;
    if (Route.Shares[Index].Weight > 0 &&
        (Credit[Index] > Credit[Best] || Route.Shares[Best].Weight == 0))
      Best = Index;
  }
  Credit[Best] -= Total;
  return Route.Shares[Best].Service;
}

} // namespace camphorpin
