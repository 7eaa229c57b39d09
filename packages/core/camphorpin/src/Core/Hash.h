#ifndef CAMPHORPIN_SRC_CORE_HASH_H
#define CAMPHORPIN_SRC_CORE_HASH_H

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace camphorpin {

/// \returns the 64-bit XXH3 hash of \p Data. Unlike std::hash it is the same in
/// every process and build, so that all nodes agree on it.
std::uint64_t stableHash(std::span<const std::byte> Data,
                         std::uint64_t Seed = 0);

/// \overload
std::uint64_t stableHash(std::string_view Text, std::uint64_t Seed = 0);

/// \returns a hash of two numbers, the same in every process and build.
std::uint64_t stableHash(std::uint64_t First, std::uint64_t Second);

} // namespace camphorpin

#endif
