#ifndef CAMPHORPIN_SRC_GATEWAY_CALLFAILURE_H
#define CAMPHORPIN_SRC_GATEWAY_CALLFAILURE_H

#include "camphorpin/Core.h"

#include <cstdint>

namespace camphorpin {

/// \brief The cause of a failed call, as far as it concerns the called service.
enum class CallFailure : std::uint8_t {
  /// The service is overloaded: fewer requests that call it would help.
  Overload,
  /// The service can't be reached: a retry that needs the same call fails as
  /// well.
  Unavailable,
  /// A response or a connection was lost: a retry may succeed.
  Lost,
};

/// \param Reason why the call was refused or failed.
/// \param Status the HTTP status that the caller received.
CallFailure classifyFailure(RefusalReason Reason, unsigned Status);

} // namespace camphorpin

#endif
