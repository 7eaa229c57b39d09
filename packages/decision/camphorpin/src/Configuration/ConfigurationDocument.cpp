#include "camphorpin/src/Configuration/ConfigurationDocument.h"

namespace camphorpin {

std::uint64_t ConfigurationDocument::stableHash() const {
  std::uint64_t Hash = camphorpin::stableHash(Name.view(), Version);
  Hash = camphorpin::stableHash(Content, Hash);
  for (const std::string &Id : ChangeIds)
    Hash = camphorpin::stableHash(Id, Hash);
  return Hash;
}

} // namespace camphorpin
