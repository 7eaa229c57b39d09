#include "camphorpin/src/Admission/CallerTable.h"

#include <algorithm>
#include <cassert>

using namespace camphorpin;
using namespace camphorpin::detail;

CallerTable::CallerTable() : Callers(Size) {
  for (std::size_t Index = DedicatedCount; Index > 0; --Index) {
    FreeList.push_back(static_cast<std::uint16_t>(Index - 1));
    Callers[Index - 1].OnFreeList = true;
  }
}

void CallerTable::setShares(const std::map<CallerName, std::uint32_t> &Shares) {
  Weights.clear();
  for (const auto &[Name, Weight] : Shares)
    Weights.emplace(Name.string(), std::max(1U, Weight));
  for (std::size_t Index = 0; Index < DedicatedCount; ++Index)
    Callers[Index].Weight = weightOf(Callers[Index].Name);
}

double CallerTable::weightOf(std::string_view Name) const {
  const auto Found = Weights.find(Name);
  return Found == Weights.end() ? 1.0 : Found->second;
}

std::uint16_t CallerTable::acquire(std::string_view Name) {
  const auto Found = Numbers.find(Name);
  const std::uint16_t Number =
      Found == Numbers.end() ? assign(Name) : Found->second;
  ++Callers[Number].Calls;
  return Number;
}

std::uint16_t CallerTable::assign(std::string_view Name) {
  while (!FreeList.empty()) {
    const std::uint16_t Number = FreeList.back();
    FreeList.pop_back();
    Caller &Entry = Callers[Number];
    Entry.OnFreeList = false;
    if (Entry.Calls > 0)
      continue;
    Numbers.erase(Entry.Name);
    Entry.Name = Name;
    Entry.Weight = weightOf(Name);
    Numbers.emplace(Name, Number);
    return Number;
  }
  return static_cast<std::uint16_t>(DedicatedCount +
                                    stableHash(Name) % SharedCount);
}

void CallerTable::release(std::uint16_t Number) {
  Caller &Entry = Callers[Number];
  assert(Entry.Calls > 0 && "release without acquire");
  --Entry.Calls;
  if (Entry.Calls > 0 || Number >= DedicatedCount || Entry.OnFreeList)
    return;
  Entry.OnFreeList = true;
  FreeList.push_back(Number);
}
