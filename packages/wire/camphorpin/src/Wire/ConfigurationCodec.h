#ifndef CAMPHORPIN_SRC_WIRE_CONFIGURATIONCODEC_H
#define CAMPHORPIN_SRC_WIRE_CONFIGURATIONCODEC_H

#include "camphorpin/Configuration.h"
#include "camphorpin/generated/node.capnp.h"

#include <optional>

namespace camphorpin {

void writeConfiguration(wire::Configuration::Builder Target,
                        const ConfigurationMessage &Message);

/// \returns the message, or nothing if its type is unknown, it contains an
/// invalid name, or one of its lists exceeds its maximum length.
std::optional<ConfigurationMessage>
readConfiguration(wire::Configuration::Reader Source);

} // namespace camphorpin

#endif
