#include "camphorpin/src/Membership/EntryPointSelection.h"

#include <algorithm>

namespace camphorpin {

bool EntryPointSelection::shouldAdvertise(std::size_t FreshInRegion,
                                          std::size_t MembersInRegion,
                                          Random &Source, Instant Now) {
  if (Now < NextCheck)
    return false;
  NextCheck = Now + CheckInterval * (0.5 + Source.uniform01());
  if (FreshInRegion >= TargetPerRegion)
    return false;
  const std::size_t Members = std::max<std::size_t>(MembersInRegion, 1);
  return Source.below(Members) < TargetPerRegion;
}

} // namespace camphorpin
