#include "camphorpin/src/Retry/AttemptBudget.h"

#include <algorithm>

namespace camphorpin {

std::uint8_t AttemptBudget::allocate() {
  const std::uint8_t Retained = Available / 2;
  const std::uint8_t Allocated = Available - Retained;
  Available = Retained;
  return Allocated;
}

void AttemptBudget::returnUnused(std::uint8_t Allocated,
                                 std::uint8_t Returned) {
  Available =
      static_cast<std::uint8_t>(Available + std::min(Allocated, Returned));
}

bool AttemptBudget::consume() {
  if (Available == 0)
    return false;
  --Available;
  return true;
}

} // namespace camphorpin
