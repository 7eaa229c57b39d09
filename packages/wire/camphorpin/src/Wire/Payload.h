#ifndef CAMPHORPIN_SRC_WIRE_PAYLOAD_H
#define CAMPHORPIN_SRC_WIRE_PAYLOAD_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace camphorpin {

/// \class HeaderField
/// \brief One end-to-end HTTP header.
struct HeaderField {
  std::string Name;
  std::string Value;
};

/// \class Payload
/// \brief What an HTTP request or answer carries end to end. It never enters
/// the decision library.
struct Payload {
  /// "GET" or "POST" for a request.
  std::string Method;
  /// The text after '?' in the target of a request.
  std::string Query;
  /// The status of an answer.
  std::uint16_t Status = 0;
  std::vector<HeaderField> Headers;
  std::string Body;

  /// \returns the memory that the payload takes, in bytes.
  std::size_t memoryBytes() const;
};

} // namespace camphorpin

#endif
