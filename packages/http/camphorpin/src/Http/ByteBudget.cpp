#include "camphorpin/src/Http/ByteBudget.h"

namespace camphorpin {

bool ByteBudget::fits(std::size_t Bytes, std::size_t Others) const {
  const std::size_t Room = isSmall(Bytes) ? Capacity : largestMessage();
  return Others <= Room && Bytes <= Room - Others;
}

bool BudgetShare::resize(std::size_t Value) {
  if (Budget && Value > Bytes) {
    while (!Budget->fits(Value, Budget->Used - Bytes))
      if (Budget->Reclaimer == nullptr || !Budget->Reclaimer->reclaim())
        return false;
  }
  set(Value);
  return true;
}

void BudgetShare::set(std::size_t Value) {
  if (Budget)
    Budget->Used = Budget->Used - Bytes + Value;
  Bytes = Value;
}

} // namespace camphorpin
