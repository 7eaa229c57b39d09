#include "camphorpin/src/Retry/AttemptBudget.h"

#include <algorithm>

namespace camphorpin {

std::uint8_t AttemptBudget::allocate() {
  const std::uint8_t Kept = InHand / 2;
  const std::uint8_t Lent = InHand - Kept;
  InHand = Kept;
  return Lent;
}

void AttemptBudget::returnUnused(std::uint8_t Lent, std::uint8_t Returned) {
  InHand = static_cast<std::uint8_t>(InHand + std::min(Lent, Returned));
}

bool AttemptBudget::consume() {
  if (InHand == 0)
    return false;
  --InHand;
  return true;
}

} // namespace camphorpin
