#ifndef CAMPHORPIN_SRC_CORE_HOSTADDRESS_H
#define CAMPHORPIN_SRC_CORE_HOSTADDRESS_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace camphorpin {

/// \class HostAddress
/// \brief The IPv4 address and port at which other nodes reach a node. RPC over
/// TCP and gossip over UDP use the same port number.
struct HostAddress {
  /// IPv4 address in host byte order.
  std::uint32_t Ip = 0;
  std::uint16_t Port = 0;

  auto operator<=>(const HostAddress &) const = default;

  /// \returns for example "127.0.0.1:7000".
  std::string toString() const;

  /// \returns the address in \p Text ("a.b.c.d:port"), or nothing if malformed.
  static std::optional<HostAddress> parse(std::string_view Text);
};

} // namespace camphorpin

template <> struct std::hash<camphorpin::HostAddress> {
  std::size_t operator()(const camphorpin::HostAddress &Value) const {
    return (static_cast<std::size_t>(Value.Ip) << 16U) | Value.Port;
  }
};

#endif
