#ifndef CAMPHORPIN_SRC_WIRE_CODEC_H
#define CAMPHORPIN_SRC_WIRE_CODEC_H

#include "camphorpin/Core.h"
#include "camphorpin/generated/node.capnp.h"
#include "camphorpin/src/Wire/Payload.h"

#include <optional>

namespace camphorpin {

/// Writers fill a builder. Readers check every field and return nothing if one
/// is outside its range; Cap'n Proto itself bounds lengths and pointers.
void writeKey(wire::Key::Builder Target, const RequestKey &Value);
RequestKey readKey(wire::Key::Reader Source);

void writeProcess(wire::Process::Builder Target, const ProcessId &Value);
ProcessId readProcess(wire::Process::Reader Source);

void writeContext(wire::Context::Builder Target, const RequestContext &Value);
std::optional<RequestContext> readContext(wire::Context::Reader Source);

void writePayload(wire::Payload::Builder Target, const Payload &Value);

/// \returns the payload, or nothing if it holds more than MaxHeaderFields
/// headers or a header with characters that HTTP does not allow.
std::optional<Payload> readPayload(wire::Payload::Reader Source);

/// \brief The largest number of headers in a payload.
inline constexpr std::size_t MaxHeaderFields = 256;

/// \returns the verdict with this code, or nothing.
std::optional<Verdict> verdictFromCode(std::uint8_t Code);

/// \returns the reason with this code, or nothing.
std::optional<RefusalReason> reasonFromCode(std::uint8_t Code);

} // namespace camphorpin

#endif
