#ifndef CAMPHORPIN_SRC_WIRE_PROTOCOLVERSION_H
#define CAMPHORPIN_SRC_WIRE_PROTOCOLVERSION_H

#include <cstdint>

namespace camphorpin {

/// The newest protocol version that this build supports (N).
inline constexpr std::uint16_t NewestProtocolVersion = 2;
/// The oldest protocol version that this build supports (N-1). Two adjacent
/// versions interoperate during a rolling upgrade.
inline constexpr std::uint16_t OldestProtocolVersion =
    NewestProtocolVersion - 1;

/// \param Newest the newest version that the peer supports.
/// \param Oldest the oldest version that the peer supports.
/// \returns the newest version that both sides support, or 0 if there is none.
std::uint16_t negotiateVersion(std::uint16_t Newest, std::uint16_t Oldest);

} // namespace camphorpin

#endif
