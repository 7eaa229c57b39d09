#include "camphorpin/src/Wire/ProtocolVersion.h"

#include <algorithm>

namespace camphorpin {

std::uint16_t negotiateVersion(std::uint16_t Newest, std::uint16_t Oldest) {
  const std::uint16_t Common = std::min(Newest, NewestProtocolVersion);
  if (Common < std::max(Oldest, OldestProtocolVersion))
    return 0;
  return Common;
}

} // namespace camphorpin
