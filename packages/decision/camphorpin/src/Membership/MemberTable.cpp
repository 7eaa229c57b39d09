#include "camphorpin/src/Membership/MemberTable.h"

#include <algorithm>
#include <cassert>

namespace camphorpin {

namespace embedded {
extern const std::string_view MemberChart;
} // namespace embedded

MemberTable::MemberTable()
    : Chart(StateChart::embedded(embedded::MemberChart)) {}

bool MemberTable::merge(const MemberRecord &Record, Instant Now) {
  const HostAddress Address = Record.Process.Address;
  const auto Found = Entries.find(Address);
  if (Found != Entries.end()) {
    if (!Found->second.Record.supersededBy(Record))
      return false;
    replace(Found->second, Record, Now);
    return true;
  }
  // A tombstone of an unknown member need not be stored.
  if (!Record.present() || Entries.size() >= MaxRecords)
    return false;
  Entries.emplace(Address, Entry{Record, Now});
  ByBucket.at(bucketOf(Address)).insert(Address);
  index(Record);
  return true;
}

bool MemberTable::apply(HostAddress Address, std::string_view Event,
                        Instant Now) {
  const auto Found = Entries.find(Address);
  if (Found == Entries.end())
    return false;
  const MemberRecord &Current = Found->second.Record;
  const StateChart::State From = static_cast<StateChart::State>(Current.State);
  const StateChart::State To = Chart.next(From, Event);
  if (From == To)
    return false;
  MemberRecord Changed = Current;
  Changed.State = static_cast<MemberState>(To);
  replace(Found->second, Changed, Now);
  return true;
}

std::size_t MemberTable::clearSuspicions(const ZoneName &Zone, Instant Now) {
  const std::vector<HostAddress> Before(Suspects.begin(), Suspects.end());
  std::size_t Cleared = 0;
  for (HostAddress Address : Before)
    if (Entries.at(Address).Record.Zone == Zone)
      Cleared += apply(Address, "refuted", Now) ? 1 : 0;
  return Cleared;
}

std::size_t MemberTable::suspectsIn(const ZoneName &Zone) const {
  return static_cast<std::size_t>(std::count_if(
      Suspects.begin(), Suspects.end(), [this, &Zone](HostAddress Address) {
        return Entries.at(Address).Record.Zone == Zone;
      }));
}

const MemberRecord *MemberTable::find(HostAddress Address) const {
  const auto Found = Entries.find(Address);
  return Found != Entries.end() ? &Found->second.Record : nullptr;
}

Instant MemberTable::changedAt(HostAddress Address) const {
  const auto Found = Entries.find(Address);
  assert(Found != Entries.end() && "the address must be known");
  return Found->second.ChangedAt;
}

bool MemberTable::isProvenEnded(const ProcessId &Process) const {
  const MemberRecord *Record = find(Process.Address);
  if (Record == nullptr)
    return false;
  if (Record->Process.Incarnation > Process.Incarnation)
    return true;
  return Record->Process == Process && Record->State == MemberState::Left;
}

std::vector<HostAddress>
MemberTable::membersOf(const ServiceName &Service) const {
  const auto Found = ByService.find(Service);
  if (Found == ByService.end())
    return {};
  std::vector<HostAddress> Result(Found->second.begin(), Found->second.end());
  std::sort(Result.begin(), Result.end());
  return Result;
}

std::vector<HostAddress> MemberTable::addresses() const {
  std::vector<HostAddress> Result;
  Result.reserve(Entries.size());
  for (const auto &[Address, Unused] : Entries)
    Result.push_back(Address);
  std::sort(Result.begin(), Result.end());
  return Result;
}

std::size_t MemberTable::presentIn(const ZoneName &Zone) const {
  const auto Found = PresentByZone.find(Zone);
  return Found != PresentByZone.end() ? Found->second : 0;
}

std::vector<MemberRecord> MemberTable::bucket(std::size_t Bucket) const {
  std::vector<MemberRecord> Result;
  for (HostAddress Address : ByBucket.at(Bucket))
    Result.push_back(Entries.at(Address).Record);
  return Result;
}

void MemberTable::purge(Instant Horizon) {
  for (auto Position = Entries.begin(); Position != Entries.end();) {
    const MemberState State = Position->second.Record.State;
    const bool Purgeable = State == MemberState::Dead ||
                           State == MemberState::Left ||
                           State == MemberState::Leaving;
    if (!Purgeable || Position->second.ChangedAt >= Horizon) {
      ++Position;
      continue;
    }
    unindex(Position->second.Record);
    ByBucket.at(bucketOf(Position->first)).erase(Position->first);
    Position = Entries.erase(Position);
  }
}

std::size_t MemberTable::bucketOf(HostAddress Address) {
  return ProcessId{Address, 0}.stableHash() % BucketCount;
}

void MemberTable::index(const MemberRecord &Record) {
  const HostAddress Address = Record.Process.Address;
  if (Record.State == MemberState::Suspect)
    Suspects.insert(Address);
  if (!Record.present())
    return;
  ByService[Record.Service].insert(Address);
  ++PresentByZone[Record.Zone];
  ++PresentCount;
  Digests.at(bucketOf(Address)) ^=
      static_cast<std::uint32_t>(Record.Process.stableHash());
}

void MemberTable::unindex(const MemberRecord &Record) {
  const HostAddress Address = Record.Process.Address;
  Suspects.erase(Address);
  if (!Record.present())
    return;
  const auto Service = ByService.find(Record.Service);
  Service->second.erase(Address);
  if (Service->second.empty())
    ByService.erase(Service);
  --PresentByZone[Record.Zone];
  --PresentCount;
  Digests.at(bucketOf(Address)) ^=
      static_cast<std::uint32_t>(Record.Process.stableHash());
}

void MemberTable::replace(Entry &Target, const MemberRecord &Record,
                          Instant Now) {
  unindex(Target.Record);
  Target = Entry{Record, Now};
  index(Record);
}

} // namespace camphorpin
