#ifndef CAMPHORPIN_SRC_DAEMON_NODEEVENT_H
#define CAMPHORPIN_SRC_DAEMON_NODEEVENT_H

#include "camphorpin/Engine.h"
#include "camphorpin/Wire.h"

#include <future>
#include <memory>
#include <variant>

namespace camphorpin {

using SharedPayload = std::shared_ptr<const Payload>;

/// \class AnswerSink
/// \brief Takes the one answer to a request, on the decision thread.
class AnswerSink {
public:
  virtual ~AnswerSink() = default;

  /// \param Body the backend server's answer, or null.
  virtual void deliver(const Answer &Value, const SharedPayload &Body) = 0;
};

/// \class RequestArrived
/// \brief A caller, or the local backend server, sent a request over HTTP.
struct RequestArrived {
  RequestId Id{};
  RequestInfo Info;
  SharedPayload Body;
  std::shared_ptr<AnswerSink> Sink;
};

/// \class CallArrived
/// \brief Another node sent a call.
struct CallArrived {
  RequestId Id{};
  RequestContext Context;
  SharedPayload Body;
  std::shared_ptr<AnswerSink> Sink;
};

/// \class RequestCancelled
/// \brief Whoever sent the request no longer waits.
struct RequestCancelled {
  RequestId Id{};
};

/// \class BackendDone
/// \brief A run on the local backend server has ended.
struct BackendDone {
  RequestId Id{};
  BackendResult Result;
  SharedPayload Body;
};

/// \class CallDone
/// \brief A call to another node has ended.
struct CallDone {
  CallId Call{};
  CallResult Result;
  SharedPayload Body;
};

/// \class DatagramArrived
/// \brief A datagram of another node.
struct DatagramArrived {
  HostAddress From;
  DatagramMessage Message;
};

/// \class ClaimArrived
/// \brief A message about claims of another node.
struct ClaimArrived {
  AddressedClaim Claim;
};

/// \class ConfigurationArrived
/// \brief A message about the configuration of another node.
struct ConfigurationArrived {
  HostAddress From;
  ConfigurationMessage Message;
};

/// \class LogPageRead
/// \brief A read of the platform's log has ended.
struct LogPageRead {
  LogReadResult Page;
};

/// \class LogReadFailed
/// \brief A read of the platform's log has failed.
struct LogReadFailed {};

/// \class ExplainRequested
/// \brief An operator asks what would become of a request.
struct ExplainRequested {
  ServiceName Service;
  OperationName Operation;
  std::shared_ptr<std::promise<Explanation>> Reply;
};

/// \class DrainRequested
/// \brief An operator or a signal starts the graceful drain.
struct DrainRequested {};

/// \brief Everything that the decision thread reacts to.
using NodeEvent =
    std::variant<RequestArrived, CallArrived, RequestCancelled, BackendDone,
                 CallDone, DatagramArrived, ClaimArrived, ConfigurationArrived,
                 LogPageRead, LogReadFailed, ExplainRequested, DrainRequested>;

} // namespace camphorpin

#endif
