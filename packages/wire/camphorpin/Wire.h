#ifndef CAMPHORPIN_WIRE_H
#define CAMPHORPIN_WIRE_H

/// Messages between nodes: the generated Cap'n Proto code and its conversion
/// from and to the types of the decision library. What is read from a message
/// is checked here, so that no invalid value reaches a decision.
#include "camphorpin/src/Wire/ClaimCodec.h"
#include "camphorpin/src/Wire/Codec.h"
#include "camphorpin/src/Wire/ConfigurationCodec.h"
#include "camphorpin/src/Wire/GossipCodec.h"
#include "camphorpin/src/Wire/Payload.h"
#include "camphorpin/src/Wire/ProtocolVersion.h"

#endif
