#include "camphorpin/src/Core/Hash.h"

#include <array>
#include <xxhash.h>

namespace camphorpin {

std::uint64_t stableHash(std::span<const std::byte> Data, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Data.data(), Data.size(), Seed);
}

std::uint64_t stableHash(std::string_view Text, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

std::uint64_t stableHash(std::uint64_t First, std::uint64_t Second) {
  std::array<unsigned char, 8> Bytes{};
  for (std::size_t Index = 0; Index < Bytes.size(); ++Index)
    Bytes[Index] = static_cast<unsigned char>(First >> (8 * Index));
  return XXH3_64bits_withSeed(Bytes.data(), Bytes.size(), Second);
}

} // namespace camphorpin
