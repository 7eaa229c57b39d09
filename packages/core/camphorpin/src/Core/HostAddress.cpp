#include "camphorpin/src/Core/HostAddress.h"

#include <charconv>

namespace camphorpin {

namespace {

/// Parses a decimal number of at most \p Max at the front of \p Text and
/// removes it from \p Text.
std::optional<std::uint32_t> consumeNumber(std::string_view &Text,
                                           std::uint32_t Max) {
  std::uint32_t Value = 0;
  const std::from_chars_result Result =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Result.ec != std::errc() || Value > Max)
    return std::nullopt;
  Text.remove_prefix(static_cast<std::size_t>(Result.ptr - Text.data()));
  return Value;
}

bool consumeCharacter(std::string_view &Text, char Expected) {
  if (Text.empty() || Text.front() != Expected)
    return false;
  Text.remove_prefix(1);
  return true;
}

} // namespace

std::string HostAddress::toString() const {
  std::string Text;
  for (int Shift = 24; Shift >= 0; Shift -= 8) {
    Text += std::to_string((Ip >> static_cast<unsigned>(Shift)) & 0xFFU);
    Text += Shift > 0 ? '.' : ':';
  }
  return Text + std::to_string(Port);
}

std::optional<HostAddress> HostAddress::parse(std::string_view Text) {
  HostAddress Address;
  for (int Part = 0; Part < 4; ++Part) {
    const std::optional<std::uint32_t> Byte = consumeNumber(Text, 255);
    if (!Byte || !consumeCharacter(Text, Part < 3 ? '.' : ':'))
      return std::nullopt;
    Address.Ip = (Address.Ip << 8U) | *Byte;
  }
  const std::optional<std::uint32_t> Port = consumeNumber(Text, 65535);
  if (!Port || !Text.empty())
    return std::nullopt;
  Address.Port = static_cast<std::uint16_t>(*Port);
  return Address;
}

} // namespace camphorpin
