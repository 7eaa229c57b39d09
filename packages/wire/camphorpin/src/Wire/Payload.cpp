#include "camphorpin/src/Wire/Payload.h"

namespace camphorpin {

std::size_t Payload::memoryBytes() const {
  std::size_t Sum =
      sizeof(Payload) + Method.size() + Query.size() + Body.size();
  for (const HeaderField &Field : Headers)
    Sum += sizeof(HeaderField) + Field.Name.size() + Field.Value.size();
  return Sum;
}

} // namespace camphorpin
