#include "camphorpin/src/Admission/SheddingLevel.h"

#include <algorithm>
#include <cassert>

using namespace camphorpin;
using namespace camphorpin::detail;

namespace {

constexpr Duration Window = Duration::millis(100);
/// Share of refused calls from which a window counts as overloaded.
constexpr double OverloadedRefusalShare = 0.05;
constexpr std::size_t WindowsBeforeShedding = 2;
constexpr std::size_t WindowsBeforeRelaxing = 10;

} // namespace

SheddingLevel::SheddingLevel(std::size_t Ranks) { setRanks(Ranks); }

void SheddingLevel::setRanks(std::size_t Ranks) {
  assert(Ranks >= 1 && Ranks <= MaxRanks && "1 to MaxRanks ranks");
  const bool AcceptsAll = Level == LeastUrgent;
  LeastUrgent = Rank(static_cast<std::uint8_t>(Ranks - 1));
  Level = AcceptsAll ? LeastUrgent : std::min(Level, LeastUrgent);
}

bool SheddingLevel::isOverloaded() const {
  std::size_t OfferedSum = 0;
  std::size_t RefusedSum = 0;
  for (std::size_t Index = 0; Index <= Level.index(); ++Index) {
    OfferedSum += Offered[Index];
    RefusedSum += Refused[Index];
  }
  return RefusedSum > 0 &&
         static_cast<double>(RefusedSum) >=
             OverloadedRefusalShare * static_cast<double>(OfferedSum);
}

void SheddingLevel::tick(bool CallsWaiting, Instant Now) {
  HadFreeCapacity |= !CallsWaiting;
  if (Now < WindowEnd)
    return;
  WindowEnd = Now + Window;
  const bool Overloaded = isOverloaded();
  OverloadedWindows = Overloaded ? OverloadedWindows + 1 : 0;
  UncongestedWindows =
      !Overloaded && HadFreeCapacity ? UncongestedWindows + 1 : 0;
  if (OverloadedWindows >= WindowsBeforeShedding && Level.index() > 0) {
    Level = Rank(static_cast<std::uint8_t>(Level.index() - 1));
    OverloadedWindows = 0;
  } else if (UncongestedWindows >= WindowsBeforeRelaxing &&
             Level < LeastUrgent) {
    Level = Rank(static_cast<std::uint8_t>(Level.index() + 1));
    UncongestedWindows = 0;
  }
  Offered.fill(0);
  Refused.fill(0);
  HadFreeCapacity = false;
}
