#ifndef CAMPHORPIN_SRC_CORE_REQUESTKEY_H
#define CAMPHORPIN_SRC_CORE_REQUESTKEY_H

#include "camphorpin/src/Core/Instant.h"
#include "camphorpin/src/Core/Random.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace camphorpin {

/// \class RequestKey
/// \brief Identifies a request across resends: a UUIDv7 (RFC 9562).
///
/// The key carries its creation time, so that a node can refuse a key that is
/// older than the retention of keys instead of running it a second time.
class RequestKey {
public:
  static constexpr std::size_t Size = 16;

  /// The nil key, which stands for no key.
  constexpr RequestKey() = default;

  /// \returns the key with these bytes, whatever its version.
  static RequestKey fromBytes(const std::array<std::uint8_t, Size> &Bytes);

  /// \returns the UUIDv7 that \p Text names in the canonical form of 36
  /// characters, or nothing if it is not a UUIDv7.
  static std::optional<RequestKey> parse(std::string_view Text);

  /// \returns a new key that was created at \p WallTime.
  static RequestKey make(Instant WallTime, Random &Source);

  /// Derives the key of a call that is made while the request with this key
  /// runs. The same arguments give the same key, so that a parent which is
  /// executed again does not run its children again.
  /// \param Target service and operation of the call, as "service/operation".
  /// \param Step distinguishes several calls of the same operation.
  /// \returns a key with the creation time of this key.
  RequestKey child(std::string_view Target, std::string_view Step) const;

  /// \returns the creation time on the wall clock of the maker.
  Instant createdAt() const;

  /// \returns true for the nil key.
  bool isNil() const;

  const std::array<std::uint8_t, Size> &bytes() const { return Bytes; }

  /// \returns the canonical form of 36 characters.
  std::string toString() const;

  /// \returns a hash that is the same on every node.
  std::uint64_t stableHash() const;

  auto operator<=>(const RequestKey &) const = default;

private:
  void setTimestamp(std::uint64_t Millis);
  void setVersion();

  std::array<std::uint8_t, Size> Bytes{};
};

} // namespace camphorpin

template <> struct std::hash<camphorpin::RequestKey> {
  std::size_t operator()(const camphorpin::RequestKey &Value) const {
    return Value.stableHash();
  }
};

#endif
