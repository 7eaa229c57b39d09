#ifndef CAMPHORPIN_SRC_ENGINE_NODEENGINE_H
#define CAMPHORPIN_SRC_ENGINE_NODEENGINE_H

#include "camphorpin/Core.h"
#include "camphorpin/src/Configuration/ConfigurationMessages.h"
#include "camphorpin/src/Engine/Actions.h"
#include "camphorpin/src/Engine/EngineMessages.h"
#include "camphorpin/src/Engine/EngineOptions.h"
#include "camphorpin/src/Engine/Explanation.h"
#include "camphorpin/src/Engine/NodeLifecycle.h"

#include <cstddef>
#include <memory>
#include <span>
#include <string_view>

namespace camphorpin {

/// \class NodeEngine
/// \brief Makes all decisions of a node.
///
/// Events are passed in through the functions whose names start with `on`. The
/// engine calls Actions in response, also from within an event. It has no
/// threads, reads only the clock that it is given, and never sees request
/// bodies.
///
/// Each request gets exactly one answer. A completion with an unknown or
/// repeated id is ignored.
class NodeEngine {
public:
  /// \param Out, Time and RandomSource must outlive the engine.
  NodeEngine(const EngineOptions &Options, Actions &Out, const Clock &Time,
             Random &RandomSource);
  ~NodeEngine();
  NodeEngine(const NodeEngine &) = delete;
  NodeEngine &operator=(const NodeEngine &) = delete;

  /// The threads of the node are running and its addresses are bound.
  void onStarted();

  /// A caller or the local backend server has sent a request.
  /// \pre \p Id was not used before.
  void onRequest(RequestId Id, const RequestInfo &Info);

  /// Another node has sent a call for the local backend server.
  /// \pre \p Id was not used before.
  void onCall(RequestId Id, const RequestContext &Context);

  /// The sender of the request no longer waits for the answer.
  void onCancel(RequestId Id);

  /// A run on the local backend server has ended.
  void onRunDone(RequestId Id, const BackendResult &Result);

  /// A call to another node has ended.
  void onCallDone(CallId Call, const CallResult &Result);

  /// A datagram of another node has arrived.
  void onDatagram(HostAddress From, const GossipMessage &Message);

  /// A configuration message has arrived from the node at \p From.
  void onConfiguration(HostAddress From, const ConfigurationMessage &Message);

  /// A claim message has arrived, addressed to exactly the process \p To.
  void onClaimMessage(const ProcessId &To, const ClaimMessage &Message);

  /// Crash reports of another node have arrived.
  void onCrashReports(std::span<const CrashReport> Reports);

  /// A read of the platform's log has completed.
  void onLogPage(const LogReadResult &Page);

  /// A read of the platform's log has failed.
  void onLogReadFailed();

  /// Starts a graceful drain: new work is refused and accepted work is
  /// completed.
  void onDrain();

  /// Runs the timers. Must be called at nextWakeup() or earlier.
  void tick();

  /// \returns the time at which tick() must be called next.
  Instant nextWakeup() const;

  /// \returns how this node would currently handle a new request of an
  /// operation.
  Explanation explain(const ServiceName &Service,
                      const OperationName &Operation) const;

  /// \returns the name of the lifecycle state.
  std::string_view state() const;

  /// \returns true if the node has left and nothing is in progress.
  bool hasEnded() const;

  /// \returns the number of present members, including this node.
  std::size_t memberCount() const;

  /// \returns the number of requests that are unanswered or still running.
  std::size_t inProgress() const;

private:
  class Impl;
  std::unique_ptr<Impl> PImpl;
};

} // namespace camphorpin

#endif
