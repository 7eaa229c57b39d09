#ifndef CAMPHORPIN_SRC_ENGINE_ACTIONS_H
#define CAMPHORPIN_SRC_ENGINE_ACTIONS_H

#include "camphorpin/Claims.h"
#include "camphorpin/Configuration.h"
#include "camphorpin/Crash.h"
#include "camphorpin/Membership.h"
#include "camphorpin/src/Engine/EngineMessages.h"
#include "camphorpin/src/Engine/LogEvent.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace camphorpin {

/// \class Actions
/// \brief Operations that the engine requests from its environment.
///
/// Every function returns without blocking. The outcome of a run, a call or a
/// read of the log is reported to the engine as an event.
class Actions {
public:
  virtual ~Actions() = default;

  /// Runs the request on the local backend server. Exactly one
  /// NodeEngine::onRunDone follows.
  virtual void startRun(RequestId Id, const RequestContext &Context) = 0;

  /// Requests the cancellation of a run on the local backend server.
  /// NodeEngine::onRunDone still follows.
  virtual void cancelRun(RequestId Id) = 0;

  /// Sends the request \p Id to the node at \p Target. Exactly one
  /// NodeEngine::onCallDone follows.
  virtual void sendCall(CallId Call, RequestId Id, HostAddress Target,
                        const RequestContext &Context) = 0;

  /// Cancels a call, because its answer is no longer needed. A later
  /// NodeEngine::onCallDone of this call is ignored.
  virtual void cancelCall(CallId Call) = 0;

  /// Answers a request. Exactly one answer is given to each request.
  virtual void answer(RequestId Id, const Answer &Value) = 0;

  /// Stores the answer of the run \p Id until dropAnswer(). Called only while
  /// the engine handles the completion of that run.
  virtual void storeAnswer(RequestId Id) = 0;

  /// Releases an answer that was stored by storeAnswer().
  virtual void dropAnswer(RequestId Id) = 0;

  /// Sends a claim message to exactly this incarnation of a node. The message
  /// may be lost.
  virtual void sendClaim(const ProcessId &To, const ClaimMessage &Message) = 0;

  /// Sends a configuration message to another node. The message may be lost.
  virtual void sendConfiguration(HostAddress To,
                                 const ConfigurationMessage &Message) = 0;

  /// Sends crash reports to another node. The message may be lost.
  virtual void sendCrashReports(HostAddress To,
                                std::span<const CrashReport> Reports) = 0;

  /// Reads the platform's log. Answered by NodeEngine::onLogPage() or
  /// NodeEngine::onLogReadFailed().
  virtual void readLog(std::uint64_t From, std::size_t Max) = 0;

  /// Appends a record to the platform's log.
  virtual void appendLog(std::string_view Record) = 0;

  /// Sends a gossip datagram to another node. The datagram may be lost.
  virtual void sendDatagram(HostAddress To, const GossipMessage &Message) = 0;

  /// Writes an event to the log of the process.
  virtual void logEvent(LogEvent Event, const LogFields &Fields) = 0;
};

} // namespace camphorpin

#endif
