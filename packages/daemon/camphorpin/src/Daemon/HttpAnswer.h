#ifndef CAMPHORPIN_SRC_DAEMON_HTTPANSWER_H
#define CAMPHORPIN_SRC_DAEMON_HTTPANSWER_H

#include "camphorpin/src/Daemon/NodeEvent.h"

#include <httplib.h>

namespace camphorpin {

/// Writes the one answer of a request with the status and the headers that
/// docs/design.md, section 3, gives for its verdict.
void writeHttpAnswer(const Answer &Value, const SharedPayload &Body,
                     httplib::Response &Response);

} // namespace camphorpin

#endif
