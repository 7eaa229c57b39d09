#ifndef CAMPHORPIN_SRC_CORE_HASH_H
#define CAMPHORPIN_SRC_CORE_HASH_H

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace camphorpin {

/// \returns a 64-bit hash that is the same in every process and version. The
/// algorithm is XXH3, so that nodes of different builds agree on it.
std::uint64_t stableHash(std::span<const std::byte> Data,
                         std::uint64_t Seed = 0);

/// \overload
std::uint64_t stableHash(std::string_view Text, std::uint64_t Seed = 0);

/// \returns a hash of two numbers, the same in every process and version.
std::uint64_t stableHash(std::uint64_t First, std::uint64_t Second);

} // namespace camphorpin

#endif
