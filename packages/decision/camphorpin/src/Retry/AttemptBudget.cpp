#include "camphorpin/src/Retry/AttemptBudget.h"

#include <algorithm>

namespace camphorpin {

std::uint8_t AttemptBudget::allocate() {
  const std::uint8_t Kept = Available / 2;
  const std::uint8_t Lent = Available - Kept;
  Available = Kept;
  return Lent;
}

void AttemptBudget::returnUnused(std::uint8_t Lent, std::uint8_t Returned) {
  Available = static_cast<std::uint8_t>(Available + std::min(Lent, Returned));
}

bool AttemptBudget::consume() {
  if (Available == 0)
    return false;
  --Available;
  return true;
}

} // namespace camphorpin
