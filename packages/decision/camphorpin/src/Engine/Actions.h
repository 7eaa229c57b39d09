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
/// \brief What the engine asks its surroundings to do.
///
/// An action returns at once. Its outcome comes back as an event.
class Actions {
public:
  virtual ~Actions() = default;

  /// Runs the request on the local backend server. Exactly one
  /// NodeEngine::onBackendDone follows.
  virtual void startBackend(RequestId Id, const RequestContext &Context) = 0;

  /// Asks the local backend server to stop a run. onBackendDone still follows.
  virtual void cancelBackend(RequestId Id) = 0;

  /// Sends the request \p Id to the node at \p Target. Exactly one
  /// NodeEngine::onCallDone follows.
  virtual void sendCall(CallId Call, RequestId Id, HostAddress Target,
                        const RequestContext &Context) = 0;

  /// Tells the other node that the answer is no longer wanted.
  virtual void cancelCall(CallId Call) = 0;

  /// Answers a request. Exactly one answer is given to each request.
  virtual void answer(RequestId Id, const Answer &Value) = 0;

  /// Keeps the answer of the run \p Id, whose end is being handled, until
  /// dropAnswer().
  virtual void keepAnswer(RequestId Id) = 0;

  /// An answer that was kept is not needed any more.
  virtual void dropAnswer(RequestId Id) = 0;

  /// Sends a message to exactly this incarnation of a node. It may be lost.
  virtual void sendClaim(const ProcessId &To, const ClaimMessage &Message) = 0;

  /// Sends a message about the configuration to another node. It may be lost.
  virtual void sendConfiguration(HostAddress To,
                                 const ConfigurationMessage &Message) = 0;

  /// Sends news of crashes to another node. It may be lost.
  virtual void sendCrashReports(HostAddress To,
                                std::span<const CrashReport> Reports) = 0;

  /// Reads the platform's log. Answered by NodeEngine::onLogPage() or
  /// NodeEngine::onLogReadFailed().
  virtual void readLog(std::uint64_t From, std::size_t Max) = 0;

  /// Appends a record to the platform's log.
  virtual void appendLog(std::string_view Record) = 0;

  /// Sends a datagram to another node. It may be lost.
  virtual void sendDatagram(HostAddress To, const GossipMessage &Message) = 0;

  /// Writes an event to the log of the process.
  virtual void logEvent(LogEvent Event, const LogFields &Fields) = 0;
};

} // namespace camphorpin

#endif
