#ifndef CAMPHORPIN_WIRE_H
#define CAMPHORPIN_WIRE_H

/// \file
/// \brief Messages between nodes: conversions between the generated Cap'n Proto
/// types and the types of the decision library. All received values are
/// validated here, so that the decision library never gets an invalid value.
#include "camphorpin/src/Wire/ClaimCodec.h"
#include "camphorpin/src/Wire/Codec.h"
#include "camphorpin/src/Wire/ConfigurationCodec.h"
#include "camphorpin/src/Wire/GossipCodec.h"
#include "camphorpin/src/Wire/Payload.h"
#include "camphorpin/src/Wire/ProtocolVersion.h"

#endif
