#include "camphorpin/src/Gateway/ByteBudget.h"

namespace camphorpin {

bool BudgetShare::resize(std::size_t Value) {
  if (!Budget || Value == Bytes)
    return true;
  const std::size_t Others = Budget->Used - Bytes;
  const std::size_t Free = Budget->Capacity - Others;
  if (Value > Bytes && Value > Free / 2)
    return false;
  Budget->Used = Others + Value;
  Bytes = Value;
  return true;
}

} // namespace camphorpin
