#ifndef CAMPHORPIN_SRC_DAEMON_RPCCOMMAND_H
#define CAMPHORPIN_SRC_DAEMON_RPCCOMMAND_H

#include "camphorpin/src/Daemon/NodeEvent.h"

#include <variant>

namespace camphorpin {

/// \class SendCall
/// \brief Sends a call to another node.
struct SendCall {
  CallId Call{};
  HostAddress Target;
  RequestContext Context;
  SharedPayload Body;
};

/// \class CancelCall
/// \brief Tells another node that an answer is no longer wanted.
struct CancelCall {
  CallId Call{};
  HostAddress Target;
};

/// \class DeliverAnswer
/// \brief Answers a call that another node sent.
struct DeliverAnswer {
  RequestId Id{};
  Answer Value;
  SharedPayload Body;
};

/// \class SendClaim
/// \brief Sends a message about claims; it may get lost.
struct SendClaim {
  ProcessId To;
  ClaimMessage Message;
};

/// \brief What the decision thread asks of the RPC thread.
using RpcCommand = std::variant<SendCall, CancelCall, DeliverAnswer, SendClaim>;

} // namespace camphorpin

#endif
