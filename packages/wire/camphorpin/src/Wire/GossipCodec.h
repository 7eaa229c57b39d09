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

/// \brief The maximum size of an accepted datagram in bytes.
inline constexpr std::size_t MaxDatagramBytes = 8192;

using CrashReports = std::vector<CrashReport>;

/// \brief The content of a datagram.
using DatagramMessage = std::variant<GossipMessage, CrashReports>;

/// \returns the encoded datagram.
std::vector<std::byte> encodeDatagram(const GossipMessage &Message);

/// \overload
std::vector<std::byte> encodeDatagram(const ProcessId &From,
                                      std::span<const CrashReport> Reports);

/// \returns the content of a datagram, or nothing if the datagram is malformed,
/// has an unsupported protocol version, or contains a value out of range.
std::optional<DatagramMessage> decodeDatagram(std::span<const std::byte> Data);

} // namespace camphorpin

#endif
