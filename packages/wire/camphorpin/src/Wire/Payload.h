#ifndef CAMPHORPIN_SRC_WIRE_PAYLOAD_H
#define CAMPHORPIN_SRC_WIRE_PAYLOAD_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpin {

/// \class HeaderField
/// \brief One end-to-end HTTP header.
struct HeaderField {
  std::string Name;
  std::string Value;
};

/// \returns true if \p Status is one of a final HTTP response: 200 to 599 (RFC
/// 9110, 15).
bool isFinalStatus(unsigned Status);

/// \returns true if \p Name is a token (RFC 9110, 5.6.2).
bool isValidHeaderName(std::string_view Name);

/// \returns false if \p Text contains a line break or NUL, which would make
/// two headers of one.
bool isValidHeaderText(std::string_view Text);

/// \class Payload
/// \brief The content of an HTTP request or response, forwarded end to end. The
/// decision library never sees it.
struct Payload {
  /// "GET" or "POST" for a request, empty for a response.
  std::string Method;
  /// The query component of the request target, without the '?'.
  std::string Query;
  /// The status code of a response.
  std::uint16_t Status = 0;
  std::vector<HeaderField> Headers;
  std::string Body;

  /// \returns the approximate memory use of the payload in bytes.
  std::size_t memoryBytes() const;
};

} // namespace camphorpin

#endif
