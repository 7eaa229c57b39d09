#ifndef CAMPHORPIN_SRC_ENGINE_NODEENGINEIMPL_H
#define CAMPHORPIN_SRC_ENGINE_NODEENGINEIMPL_H

#include "camphorpin/src/Engine/CallClient.h"
#include "camphorpin/src/Engine/CallServer.h"
#include "camphorpin/src/Engine/ConfigurationManager.h"
#include "camphorpin/src/Engine/MemberDirectory.h"
#include "camphorpin/src/Engine/NodeEngine.h"
#include "camphorpin/src/Engine/PolicyStore.h"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace camphorpin {

/// \class NodeEngine::Impl
/// \brief Owns the modules of a node and connects them.
class NodeEngine::Impl final : private detail::DocumentListener,
                               private detail::LogReadingHandler {
public:
  Impl(const EngineOptions &Options, Actions &Out, const Clock &Time,
       Random &RandomSource)
      : Options(Options), Out(Out), Time(Time), RandomSource(RandomSource),
        Policies(Options.Policies), Members(Options, Out, RandomSource),
        Guard(Options.Self, CrashOptions()), Answers(Out),
        Server(Options.Service, Out, Answers, Guard, Members, Time),
        Client(Out, Answers, Members, Server, Guard),
        Configuration(Options, Out, *this, Members.presentMembers(),
                      RandomSource) {
    Members.setReadingHandler(*this);
    applyPolicies();
  }

  void handleRequest(RequestId Id, const RequestInfo &Info);
  void handleCall(RequestId Id, const RequestContext &Context);
  void handleDatagram(HostAddress From, const GossipMessage &Message);
  void tick();
  /// Fills in the fields of \p Result that depend on the state of the node.
  /// \pre Rank and Idempotent of \p Result are set.
  void explainRoute(const ServiceName &Service, const OperationName &Operation,
                    Explanation &Result);
  void applyPolicies();
  void advanceLifecycle();
  bool handleLifecycleEvent(LifecycleEvent Event);
  void announceExit();
  std::size_t inProgress() const {
    // A run may continue after its call was answered.
    return std::max(Answers.size(), Server.inProgress() + Client.inProgress());
  }

  EngineOptions Options;
  Actions &Out;
  const Clock &Time;
  Random &RandomSource;
  detail::PolicyStore Policies;
  detail::MemberDirectory Members;
  CrashGuard Guard;
  detail::AnswerTracker Answers;
  detail::CallServer Server;
  detail::CallClient Client;
  detail::ConfigurationManager Configuration;
  EntryPointSelection EntrySelection;
  NodeLifecycle Lifecycle;
  /// When tick() was called for the first time.
  std::optional<Instant> FirstTickAt;
  Instant LastTick;
  Instant DrainStart;
  /// When the work accepted before the drain was finished.
  std::optional<Instant> WorkFinishedAt;

private:
  const OperationPolicy *findOperation(const RequestInfo &Info) const;
  RequestContext makeRootContext(const RequestInfo &Info,
                                 const OperationPolicy &Policy);
  static RequestContext makeNestedContext(const detail::NestedCall &Nested,
                                          const RequestInfo &Info,
                                          const OperationPolicy &Policy);
  /// \returns true if this node is draining or leaving and still accepts the
  /// call because it is non-idempotent. No other node may run its key until the
  /// home set has changed.
  bool acceptsNonIdempotentCall(const RequestContext &Context) const;
  /// \returns true if this node is draining or leaving and still sends the
  /// request to another node, although it refuses new work. That holds for a
  /// resend of a key, for which only the home of the key can answer that it has
  /// not run.
  bool shouldForward(const RequestContext &Context) const;
  void dispatch(RequestId Id, RequestContext Context, const RequestInfo &Info);
  RefusalReason refusalReason(const RequestContext &Context,
                              const RequestInfo &Info) const;
  void gossipCrashReports();
  void tickConfiguration(Instant Now);
  void maybeAdvertiseEntryPoint(Instant Now);
  void documentChanged(const ConfigurationDocument &Document) override;
  LogReading currentReading() const override;
  void onReadingInAck(HostAddress From, const LogReading &Reading,
                      Instant SentAt) override;
  bool isReadyToServe(Instant Now) const;
};

} // namespace camphorpin

#endif
