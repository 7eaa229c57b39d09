#ifndef CAMPHORPIN_SRC_WIRE_PROTOCOLVERSION_H
#define CAMPHORPIN_SRC_WIRE_PROTOCOLVERSION_H

#include <cstdint>

namespace camphorpin {

/// The newest protocol version that this build speaks (N).
inline constexpr std::uint16_t NewestProtocolVersion = 2;
/// The oldest protocol version that this build speaks (N-1), so that two
/// versions run side by side during a rollout.
inline constexpr std::uint16_t OldestProtocolVersion =
    NewestProtocolVersion - 1;

/// \param Newest the newest version that the other side speaks.
/// \param Oldest the oldest version that the other side speaks.
/// \returns the newest version that both sides speak, or 0 if there is none.
std::uint16_t negotiateVersion(std::uint16_t Newest, std::uint16_t Oldest);

} // namespace camphorpin

#endif
