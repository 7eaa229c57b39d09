#ifndef CAMPHORPIN_SRC_GATEWAY_CALLFAILURE_H
#define CAMPHORPIN_SRC_GATEWAY_CALLFAILURE_H

#include "camphorpin/Core.h"

#include <cstdint>

namespace camphorpin {

/// \brief What the failure of a call says about the called service.
enum class CallFailure : std::uint8_t {
  /// It has more load than it can carry: fewer runs that call it would help.
  Overload,
  /// It can't be reached: another run that needs the same call fails as well.
  Unavailable,
  /// An answer or a connection was lost: another run may succeed.
  Lost,
};

/// \param Reason why the call was refused or failed.
/// \param Status the status that its caller got.
CallFailure classifyFailure(RefusalReason Reason, unsigned Status);

} // namespace camphorpin

#endif
