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

/// \brief A message between decision modules.
using ControlMessage = std::variant<AddressedClaim, ConfigurationMessage>;

/// \class SendControl
/// \brief Sends a message between decision modules; it may get lost.
struct SendControl {
  HostAddress Target;
  ControlMessage Message;
};

/// \brief What the decision thread asks of the RPC thread.
using RpcCommand =
    std::variant<SendCall, CancelCall, DeliverAnswer, SendControl>;

} // namespace camphorpin

#endif
