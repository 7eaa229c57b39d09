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
/// \brief The idempotency key of a request, a UUIDv7 (RFC 9562). Retries of the
/// request carry the same key.
///
/// The key contains its creation time, so that a node can reject a key that is
/// older than the key retention period instead of running the request twice.
class RequestKey {
public:
  static constexpr std::size_t Size = 16;

  /// Constructs the nil key, which represents the absence of a key.
  constexpr RequestKey() = default;

  /// \returns the key with these bytes. The UUID version is not checked.
  static RequestKey fromBytes(const std::array<std::uint8_t, Size> &Bytes);

  /// Parses the canonical form of 36 characters, in either case.
  /// \returns the key, or nothing if \p Text is not a UUIDv7.
  static std::optional<RequestKey> parse(std::string_view Text);

  /// \returns a new random key with the timestamp \p WallTime.
  static RequestKey make(Instant WallTime, Random &Source);

  /// Derives the key of a nested call that the request with this key makes. The
  /// result is deterministic, so that a retry of the parent does not run its
  /// nested calls again.
  /// \param Target service and operation of the call, as "service/operation".
  /// \param Step distinguishes multiple calls of the same operation.
  /// \returns a key with the creation time of this key.
  RequestKey child(std::string_view Target, std::string_view Step) const;

  /// \returns the creation time on the wall clock of the host that generated
  /// the key.
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
  void setVersionAndVariant();

  std::array<std::uint8_t, Size> Bytes{};
};

} // namespace camphorpin

template <> struct std::hash<camphorpin::RequestKey> {
  std::size_t operator()(const camphorpin::RequestKey &Value) const {
    return Value.stableHash();
  }
};

#endif
