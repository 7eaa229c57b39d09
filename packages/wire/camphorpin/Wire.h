#ifndef CAMPHORPIN_WIRE_H
#define CAMPHORPIN_WIRE_H

/// \file
/// \brief Messages between nodes: conversions between the generated Cap'n Proto
/// types and the types of the decision library. Names, codes, lengths of lists,
/// header fields and the durations of a call are validated here. Keys, epochs
/// and process identities are passed on as they are.
#include "camphorpin/src/Wire/ClaimCodec.h"
#include "camphorpin/src/Wire/Codec.h"
#include "camphorpin/src/Wire/ConfigurationCodec.h"
#include "camphorpin/src/Wire/GossipCodec.h"
#include "camphorpin/src/Wire/Payload.h"
#include "camphorpin/src/Wire/ProtocolVersion.h"

#endif
