#include "camphorpin/src/Membership/ProbeSchedule.h"

#include <utility>

namespace camphorpin {

std::optional<HostAddress> ProbeSchedule::next(const MemberTable &Table,
                                               HostAddress Self,
                                               Random &Source) {
  ++ProbeCount;
  if (ProbeCount % DeadProbeInterval == 0 && !Dead.empty())
    return Dead[Source.below(Dead.size())];
  // Members of the round may have left or died since it was shuffled.
  while (Position < Round.size()) {
    const HostAddress Candidate = Round[Position++];
    const MemberRecord *Record = Table.find(Candidate);
    if (Record != nullptr && Record->present())
      return Candidate;
  }
  startRound(Table, Self, Source);
  if (Round.empty())
    return Dead.empty() ? std::nullopt : std::optional(Dead.front());
  return Round[Position++];
}

void ProbeSchedule::add(HostAddress Address, Random &Source) {
  if (!InRound.insert(Address).second)
    return;
  const std::size_t Remaining = Round.size() - Position;
  const std::size_t InsertAt = Position + Source.below(Remaining + 1);
  Round.insert(Round.begin() + static_cast<std::ptrdiff_t>(InsertAt), Address);
}

void ProbeSchedule::startRound(const MemberTable &Table, HostAddress Self,
                               Random &Source) {
  Round.clear();
  Dead.clear();
  Position = 0;
  for (HostAddress Address : Table.addresses()) {
    const MemberRecord *Record = Table.find(Address);
    if (Address == Self || Record->State == MemberState::Left)
      continue;
    (Record->present() ? Round : Dead).push_back(Address);
  }
  for (std::size_t Left = Round.size(); Left > 1; --Left)
    std::swap(Round[Left - 1], Round[Source.below(Left)]);
  InRound = std::unordered_set<HostAddress>(Round.begin(), Round.end());
}

} // namespace camphorpin
