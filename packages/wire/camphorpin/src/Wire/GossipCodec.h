#ifndef CAMPHORPIN_SRC_WIRE_GOSSIPCODEC_H
#define CAMPHORPIN_SRC_WIRE_GOSSIPCODEC_H

#include "camphorpin/Membership.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace camphorpin {

/// \brief The largest datagram that is accepted, in bytes.
inline constexpr std::size_t MaxDatagramBytes = 8192;

/// \returns the datagram that carries \p Message.
std::vector<std::byte> encodeDatagram(const GossipMessage &Message);

/// \returns the message in a datagram, or nothing if it is malformed, of
/// another protocol version, or holds a value out of range.
std::optional<GossipMessage> decodeDatagram(std::span<const std::byte> Data);

} // namespace camphorpin

#endif
