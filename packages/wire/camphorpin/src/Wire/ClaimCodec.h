#ifndef CAMPHORPIN_SRC_WIRE_CLAIMCODEC_H
#define CAMPHORPIN_SRC_WIRE_CLAIMCODEC_H

#include "camphorpin/Claims.h"
#include "camphorpin/generated/node.capnp.h"

#include <optional>

namespace camphorpin {

/// \class AddressedClaim
/// \brief A message about claims and the one incarnation that may handle it.
struct AddressedClaim {
  ProcessId To;
  ClaimMessage Message;
};

void writeClaim(wire::Claim::Builder Target, const ProcessId &To,
                const ClaimMessage &Message);

/// \returns the message, or nothing if it is of an unknown kind or a list in it
/// is longer than any node sends.
std::optional<AddressedClaim> readClaim(wire::Claim::Reader Source);

} // namespace camphorpin

#endif
