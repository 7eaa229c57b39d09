#ifndef CAMPHORPIN_SRC_ENGINE_HOMESETRECORD_H
#define CAMPHORPIN_SRC_ENGINE_HOMESETRECORD_H

#include "camphorpin/Claims.h"

#include <string>

namespace camphorpin::detail {

/// \returns the log record that proposes \p Next as the content of the document
/// homes/<service>.
std::string formatHomeSetChange(const ServiceName &Service,
                                const ProcessId &Author, const HomeSet &Next);

} // namespace camphorpin::detail

#endif
