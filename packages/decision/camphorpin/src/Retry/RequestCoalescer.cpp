#include "camphorpin/src/Retry/RequestCoalescer.h"

#include <algorithm>
#include <utility>

namespace camphorpin {

CoalesceDecision RequestCoalescer::add(const CallerName &Caller,
                                       const RequestKey &Key,
                                       std::uint64_t TransmissionId) {
  const CallerKey Index{Caller, Key};
  const auto Found = InFlight.find(Index);
  if (Found != InFlight.end()) {
    if (Found->second.size() > MaxCoalesced)
      return CoalesceDecision::Full;
    Found->second.push_back(TransmissionId);
    return CoalesceDecision::Joined;
  }
  if (InFlight.size() >= MaxKeys)
    return CoalesceDecision::Full;
  InFlight[Index].push_back(TransmissionId);
  return CoalesceDecision::Start;
}

std::vector<std::uint64_t> RequestCoalescer::finish(const CallerName &Caller,
                                                    const RequestKey &Key) {
  const auto Found = InFlight.find(CallerKey{Caller, Key});
  if (Found == InFlight.end())
    return {};
  std::vector<std::uint64_t> Result = std::move(Found->second);
  InFlight.erase(Found);
  return Result;
}

void RequestCoalescer::abandon(const CallerName &Caller, const RequestKey &Key,
                               std::uint64_t TransmissionId) {
  const auto Found = InFlight.find(CallerKey{Caller, Key});
  if (Found == InFlight.end() || Found->second.front() == TransmissionId)
    return;
  std::erase(Found->second, TransmissionId);
}

} // namespace camphorpin
