#include "camphorpin/src/Core/RequestKey.h"

#include "camphorpin/src/Core/Hash.h"

#include <algorithm>
#include <span>

namespace camphorpin {

namespace {

constexpr std::size_t TimestampBytes = 6;
constexpr std::size_t TextSize = 36;
constexpr std::string_view HexDigits = "0123456789abcdef";

bool isDashPosition(std::size_t Position) {
  return Position == 8 || Position == 13 || Position == 18 || Position == 23;
}

std::optional<std::uint8_t> hexValue(char C) {
  if (C >= 'A' && C <= 'F')
    C = static_cast<char>(C - 'A' + 'a');
  const std::size_t Position = HexDigits.find(C);
  if (Position == std::string_view::npos)
    return std::nullopt;
  return static_cast<std::uint8_t>(Position);
}

void writeLittleEndian(std::uint64_t Value, std::span<std::uint8_t> Target) {
  for (std::uint8_t &Byte : Target) {
    Byte = static_cast<std::uint8_t>(Value);
    Value >>= 8U;
  }
}

} // namespace

RequestKey RequestKey::fromBytes(const std::array<std::uint8_t, Size> &Bytes) {
  RequestKey Key;
  Key.Bytes = Bytes;
  return Key;
}

std::optional<RequestKey> RequestKey::parse(std::string_view Text) {
  if (Text.size() != TextSize)
    return std::nullopt;
  RequestKey Key;
  std::size_t Nibble = 0;
  for (std::size_t Position = 0; Position < TextSize; ++Position) {
    if (isDashPosition(Position)) {
      if (Text[Position] != '-')
        return std::nullopt;
      continue;
    }
    const std::optional<std::uint8_t> Value = hexValue(Text[Position]);
    if (!Value)
      return std::nullopt;
    std::uint8_t &Byte = Key.Bytes[Nibble / 2];
    Byte = static_cast<std::uint8_t>((Byte << 4U) | *Value);
    ++Nibble;
  }
  const bool IsVersion7 = (Key.Bytes[6] >> 4U) == 7;
  const bool IsRfcVariant = (Key.Bytes[8] >> 6U) == 2;
  if (!IsVersion7 || !IsRfcVariant)
    return std::nullopt;
  return Key;
}

RequestKey RequestKey::make(Instant WallTime, Random &Source) {
  RequestKey Key;
  writeLittleEndian(Source.next(), std::span(Key.Bytes).first<8>());
  writeLittleEndian(Source.next(), std::span(Key.Bytes).last<8>());
  Key.setTimestamp(static_cast<std::uint64_t>(WallTime.wholeMillis()));
  Key.setVersionAndVariant();
  return Key;
}

RequestKey RequestKey::child(std::string_view Target,
                             std::string_view Step) const {
  // The separator cannot occur in the name of a service or an operation, so
  // different pairs of target and step have different inputs.
  std::string HashInput(Bytes.begin(), Bytes.end());
  HashInput.append(Target);
  HashInput.push_back('\n');
  HashInput.append(Step);
  RequestKey Key;
  writeLittleEndian(camphorpin::stableHash(HashInput, 1),
                    std::span(Key.Bytes).first<8>());
  writeLittleEndian(camphorpin::stableHash(HashInput, 2),
                    std::span(Key.Bytes).last<8>());
  std::copy_n(Bytes.begin(), TimestampBytes, Key.Bytes.begin());
  Key.setVersionAndVariant();
  return Key;
}

Instant RequestKey::createdAt() const {
  std::int64_t Millis = 0;
  for (std::size_t Index = 0; Index < TimestampBytes; ++Index)
    Millis = (Millis << 8) | Bytes[Index];
  return Instant::fromMillis(Millis);
}

bool RequestKey::isNil() const {
  return std::all_of(Bytes.begin(), Bytes.end(),
                     [](std::uint8_t Byte) { return Byte == 0; });
}

std::string RequestKey::toString() const {
  std::string Text;
  Text.reserve(TextSize);
  for (std::uint8_t Byte : Bytes) {
    if (isDashPosition(Text.size()))
      Text.push_back('-');
    Text.push_back(HexDigits[Byte >> 4U]);
    Text.push_back(HexDigits[Byte & 0xFU]);
  }
  return Text;
}

std::uint64_t RequestKey::stableHash() const {
  return camphorpin::stableHash(std::as_bytes(std::span(Bytes)));
}

void RequestKey::setTimestamp(std::uint64_t Millis) {
  for (std::size_t Index = TimestampBytes; Index > 0; --Index) {
    Bytes[Index - 1] = static_cast<std::uint8_t>(Millis);
    Millis >>= 8U;
  }
}

void RequestKey::setVersionAndVariant() {
  Bytes[6] = static_cast<std::uint8_t>(0x70U | (Bytes[6] & 0x0FU));
  Bytes[8] = static_cast<std::uint8_t>(0x80U | (Bytes[8] & 0x3FU));
}

} // namespace camphorpin
