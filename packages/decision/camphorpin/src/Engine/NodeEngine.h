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
/// \brief All decisions of one node.
///
/// Events come in through the functions that start with `on`; actions go out
/// through Actions, also from within an event. The engine has no threads and
/// reads no clock but the one it is given. Bodies do not enter it.
///
/// Each request gets exactly one answer. A completion with an unknown id, or
/// one that came before, is dropped.
class NodeEngine {
public:
  /// \param Out, Time and Source must outlive the engine.
  NodeEngine(const EngineOptions &Options, Actions &Out, const Clock &Time,
             Random &Source);
  ~NodeEngine();
  NodeEngine(const NodeEngine &) = delete;
  NodeEngine &operator=(const NodeEngine &) = delete;

  /// The threads of the node run and its addresses are bound.
  void onStarted();

  /// A caller, or the local backend server, sent a request.
  /// \pre \p Id was not used before.
  void onRequest(RequestId Id, const RequestInfo &Info);

  /// Another node sent a call for the local backend server.
  /// \pre \p Id was not used before.
  void onCall(RequestId Id, const RequestContext &Context);

  /// Whoever sent the request no longer waits for the answer.
  void onCancel(RequestId Id);

  /// A run on the local backend server has ended.
  void onBackendDone(RequestId Id, const BackendResult &Result);

  /// A call to another node has ended.
  void onCallDone(CallId Call, const CallResult &Result);

  /// A datagram of another node arrived.
  void onDatagram(HostAddress From, const GossipMessage &Message);

  /// A message about the configuration has arrived from the node at \p From.
  void onConfiguration(HostAddress From, const ConfigurationMessage &Message);

  /// A message about claims arrived, for exactly the process \p To.
  void onClaimMessage(const ProcessId &To, const ClaimMessage &Message);

  /// News of crashes arrived.
  void onCrashReports(std::span<const CrashReport> Reports);

  /// A read of the platform's log has ended.
  void onLogPage(const LogReadResult &Page);

  /// A read of the platform's log has failed.
  void onLogReadFailed();

  /// Starts the graceful drain: new work is refused from now on, and accepted
  /// work finishes.
  void onDrain();

  /// Time has passed. To be called at nextWakeup() or earlier.
  void tick();

  /// \returns the time at which tick() has something to do.
  Instant nextWakeup() const;

  /// \returns what would become of a new request of an operation now.
  Explanation explain(const ServiceName &Service,
                      const OperationName &Operation) const;

  /// \returns the name of the lifecycle state.
  std::string_view state() const;

  /// \returns true when the node has left and nothing is in progress.
  bool hasEnded() const;

  /// \returns the number of members that are present, this node included.
  std::size_t members() const;

  /// \returns the number of requests that are not answered yet.
  std::size_t inProgress() const;

private:
  class Impl;
  std::unique_ptr<Impl> PImpl;
};

} // namespace camphorpin

#endif
