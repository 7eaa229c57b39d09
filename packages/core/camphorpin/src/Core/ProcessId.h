#ifndef CAMPHORPIN_SRC_CORE_PROCESSID_H
#define CAMPHORPIN_SRC_CORE_PROCESSID_H

#include "camphorpin/src/Core/Hash.h"
#include "camphorpin/src/Core/HostAddress.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace camphorpin {

/// \class ProcessId
/// \brief Identifies one process of a node. A higher incarnation at the same
/// address proves that the earlier process has ended, because only one process
/// can bind an address at a time.
struct ProcessId {
  HostAddress Address;
  /// Wall clock time of the start in ms, increased if necessary to exceed all
  /// earlier incarnations.
  std::uint64_t Incarnation = 0;

  auto operator<=>(const ProcessId &) const = default;

  /// \returns a hash that is the same on every node.
  std::uint64_t stableHash() const {
    const std::uint64_t Packed =
        (static_cast<std::uint64_t>(Address.Ip) << 16U) | Address.Port;
    return camphorpin::stableHash(Packed, Incarnation);
  }
};

} // namespace camphorpin

template <> struct std::hash<camphorpin::ProcessId> {
  std::size_t operator()(const camphorpin::ProcessId &Value) const {
    return Value.stableHash();
  }
};

#endif
