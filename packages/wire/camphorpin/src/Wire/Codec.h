#ifndef CAMPHORPIN_SRC_WIRE_CODEC_H
#define CAMPHORPIN_SRC_WIRE_CODEC_H

#include "camphorpin/Core.h"
#include "camphorpin/generated/node.capnp.h"
#include "camphorpin/src/Wire/Payload.h"

#include <optional>

namespace camphorpin {

/// \file
/// \brief Conversions of the parts that several messages share. The write
/// functions fill a builder. readKey() and readProcess() accept every value;
/// the other read functions return nothing if a value is out of range. Cap'n
/// Proto itself checks lengths and pointers.

void writeKey(wire::Key::Builder Target, const RequestKey &Value);
RequestKey readKey(wire::Key::Reader Source);

void writeProcess(wire::Process::Builder Target, const ProcessId &Value);
ProcessId readProcess(wire::Process::Reader Source);

void writeContext(wire::Context::Builder Target, const RequestContext &Value);
std::optional<RequestContext> readContext(wire::Context::Reader Source);

/// Writes at most MaxHeaderFields headers; further ones are left out.
void writePayload(wire::Payload::Builder Target, const Payload &Value);

/// \returns the payload, or nothing if the method is unsupported, there are
/// more than MaxHeaderFields headers, a header name is no token, or the query
/// or a header contains a line break or NUL.
std::optional<Payload> readPayload(wire::Payload::Reader Source);

/// \returns the payload of an answer, or nothing if it is malformed or its
/// status is none of a final HTTP response. A node of an earlier version passes
/// on such an answer of its backend server.
std::optional<Payload> readResponse(wire::Payload::Reader Source);

/// \brief The maximum number of headers in a payload.
inline constexpr std::size_t MaxHeaderFields = 256;

/// \returns the verdict with this code, or nothing if the code is unknown.
std::optional<Verdict> verdictFromCode(std::uint8_t Code);

/// \returns the reason with this code, or nothing if the code is unknown.
std::optional<RefusalReason> reasonFromCode(std::uint8_t Code);

} // namespace camphorpin

#endif
