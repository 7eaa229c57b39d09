#ifndef CAMPHORPIN_SRC_GATEWAY_PEERCODEC_H
#define CAMPHORPIN_SRC_GATEWAY_PEERCODEC_H

#include "camphorpin/src/Gateway/PeerMessages.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace camphorpin::detail {

/// Appends \p Frame to \p Target: its length (4 bytes, big-endian) and a packed
/// Cap'n Proto message.
void encodeFrame(const PeerFrame &Frame, std::string &Target);

/// Largest frame that a node sends, in bytes: the largest answer of a backend
/// server with its headers and a margin.
constexpr std::size_t MaxFrameBytes = 20U << 20U;

/// \returns the bytes of the first frame of \p Stream with its length prefix,
/// or 0 if the prefix is incomplete.
std::size_t frameBytes(std::string_view Stream);

/// \brief Result of decoding the first frame of a byte stream.
enum class DecodeState : std::uint8_t { Frame, Incomplete, Malformed };

/// \class DecodedFrame
/// \brief A decoded frame and its encoded size.
struct DecodedFrame {
  DecodeState State = DecodeState::Incomplete;
  std::size_t Bytes = 0;
  PeerFrame Frame;
};

/// \param Stream received bytes, of which the first frame is decoded.
/// \param MaxBytes size, packed or not, above which a frame is malformed.
DecodedFrame decodeFrame(std::string_view Stream,
                         std::size_t MaxBytes = MaxFrameBytes);

} // namespace camphorpin::detail

#endif
