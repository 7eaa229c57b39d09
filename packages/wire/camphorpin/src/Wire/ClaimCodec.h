#ifndef CAMPHORPIN_SRC_WIRE_CLAIMCODEC_H
#define CAMPHORPIN_SRC_WIRE_CLAIMCODEC_H

#include "camphorpin/Claims.h"
#include "camphorpin/generated/node.capnp.h"

#include <optional>

namespace camphorpin {

/// \class AddressedClaim
/// \brief A claim message with its destination. Only the addressed incarnation
/// of the node may process it.
struct AddressedClaim {
  ProcessId To;
  ClaimMessage Message;
};

void writeClaim(wire::Claim::Builder Target, const ProcessId &To,
                const ClaimMessage &Message);

/// \returns the message, or nothing if its type is unknown or one of its lists
/// exceeds its maximum length.
std::optional<AddressedClaim> readClaim(wire::Claim::Reader Source);

} // namespace camphorpin

#endif
