#ifndef CAMPHORPIN_SRC_DAEMON_DECISIONTHREAD_H
#define CAMPHORPIN_SRC_DAEMON_DECISIONTHREAD_H

#include "camphorpin/src/Daemon/BackendRunners.h"
#include "camphorpin/src/Daemon/EventQueue.h"
#include "camphorpin/src/Daemon/RpcThread.h"

#include <atomic>
#include <deque>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>

namespace camphorpin {

/// \class NodeStatus
/// \brief What operators see of a node.
struct NodeStatus {
  std::string State;
  std::size_t InProgress = 0;
};

/// \class DecisionThread
/// \brief Feeds events to the engine and carries out its actions. It keeps the
/// bodies, which the engine only knows by number.
class DecisionThread final : private Actions {
public:
  /// \param Runners null for a node without a backend server.
  DecisionThread(const EngineOptions &Options, const PolicySource &Policies,
                 const Clock &Time, Random &Source, EventQueue &Events,
                 RpcThread &Rpc, BackendRunners *Runners);
  ~DecisionThread() override;

  void start();

  /// Waits until the node has drained and left.
  void join();

  NodeStatus status() const;

private:
  /// \class Entry
  /// \brief A request that is in progress.
  struct Entry {
    SharedPayload Body;
    std::shared_ptr<AnswerSink> Sink;
    /// Set while the request runs on the local backend server.
    std::string Token;
    bool Answered = false;
  };

  void run();
  void handle(RequestArrived &&Event);
  void handle(CallArrived &&Event);
  void handle(RequestCancelled &&Event);
  void handle(BackendDone &&Event);
  void handle(CallDone &&Event);
  void handle(DrainRequested &&Event);
  void drop(RequestId Id);
  void publish();

  void startBackend(RequestId Id, const RequestContext &Context) override;
  void cancelBackend(RequestId Id) override;
  void sendCall(CallId Call, RequestId Id, HostAddress Target,
                const RequestContext &Context) override;
  void cancelCall(CallId Call) override;
  void answer(RequestId Id, const Answer &Value) override;

  const Clock &Time;
  EventQueue &Events;
  RpcThread &Rpc;
  BackendRunners *Runners;
  NodeEngine Engine;
  std::unordered_map<RequestId, Entry> Requests;
  std::unordered_map<CallId, HostAddress> Calls;
  /// The answer that the current event brought.
  SharedPayload Current;
  /// Ends of actions that failed at once. They become events after the current
  /// one, because an action must not call the engine back.
  std::deque<NodeEvent> Immediate;
  std::thread Thread;
  mutable std::mutex StatusMutex;
  NodeStatus Status;
};

} // namespace camphorpin

#endif
