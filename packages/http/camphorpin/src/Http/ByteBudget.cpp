#include "camphorpin/src/Http/ByteBudget.h"

#include <algorithm>

namespace camphorpin {

bool BudgetShare::resize(std::size_t Value) {
  if (!Budget || Value == Bytes)
    return true;
  const std::size_t Others = Budget->Used - Bytes;
  const std::size_t Free =
      Budget->Capacity - std::min(Budget->Capacity, Others);
  if (Value > Bytes && Value > Free / 2)
    return false;
  set(Value);
  return true;
}

void BudgetShare::set(std::size_t Value) {
  if (Budget)
    Budget->Used = Budget->Used - Bytes + Value;
  Bytes = Value;
}

} // namespace camphorpin
