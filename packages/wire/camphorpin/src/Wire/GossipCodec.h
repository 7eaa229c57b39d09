#ifndef CAMPHORPIN_SRC_WIRE_GOSSIPCODEC_H
#define CAMPHORPIN_SRC_WIRE_GOSSIPCODEC_H

#include "camphorpin/Crash.h"
#include "camphorpin/Membership.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace camphorpin {

/// \brief The largest datagram that is accepted, in bytes.
inline constexpr std::size_t MaxDatagramBytes = 8192;

using CrashReports = std::vector<CrashReport>;

/// \brief What a datagram carries.
using DatagramMessage = std::variant<GossipMessage, CrashReports>;

/// \returns the datagram that carries \p Message.
std::vector<std::byte> encodeDatagram(const GossipMessage &Message);

/// \overload
std::vector<std::byte> encodeDatagram(const ProcessId &From,
                                      std::span<const CrashReport> Reports);

/// \returns the message in a datagram, or nothing if it is malformed, of
/// another protocol version, or holds a value out of range.
std::optional<DatagramMessage> decodeDatagram(std::span<const std::byte> Data);

} // namespace camphorpin

#endif
