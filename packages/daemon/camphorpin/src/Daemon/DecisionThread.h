#ifndef CAMPHORPIN_SRC_DAEMON_DECISIONTHREAD_H
#define CAMPHORPIN_SRC_DAEMON_DECISIONTHREAD_H

#include "camphorpin/src/Daemon/BackendRunners.h"
#include "camphorpin/src/Daemon/DatagramThread.h"
#include "camphorpin/src/Daemon/EventLog.h"
#include "camphorpin/src/Daemon/EventQueue.h"
#include "camphorpin/src/Daemon/LogThreads.h"
#include "camphorpin/src/Daemon/Metrics.h"
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
  std::size_t Members = 0;
};

/// \class DecisionPorts
/// \brief The threads that the decision thread talks to. All must outlive it.
struct DecisionPorts {
  EventQueue &Events;
  RpcThread &Rpc;
  DatagramThread &Datagrams;
  EventLog &Log;
  Metrics &Statistics;
  /// Null for a node without a backend server.
  BackendRunners *Runners = nullptr;
  /// Null for a node without the platform's log.
  LogThreads *PlatformRecords = nullptr;
};

/// \class DecisionThread
/// \brief Feeds events to the engine and carries out its actions. It keeps the
/// bodies, which the engine only knows by number.
class DecisionThread final : private Actions {
public:
  DecisionThread(const EngineOptions &Options, const Clock &Time,
                 Random &Source, const DecisionPorts &Ports);
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
    RequestSide Side = RequestSide::Ingress;
    CallerName Caller;
    Instant Arrived;
  };

  void run();
  void handle(RequestArrived &&Event);
  void handle(CallArrived &&Event);
  void handle(RequestCancelled &&Event);
  void handle(BackendDone &&Event);
  void handle(CallDone &&Event);
  void handle(DatagramArrived &&Event);
  void handle(ClaimArrived &&Event);
  void handle(ConfigurationArrived &&Event);
  void handle(LogPageRead &&Event);
  void handle(LogReadFailed &&Event);
  void handle(ExplainRequested &&Event);
  void handle(DrainRequested &&Event);
  void drop(RequestId Id);
  SharedPayload bodyOf(const Answer &Value) const;
  void publish();

  void startRun(RequestId Id, const RequestContext &Context) override;
  void cancelRun(RequestId Id) override;
  void sendCall(CallId Call, RequestId Id, HostAddress Target,
                const RequestContext &Context) override;
  void cancelCall(CallId Call) override;
  void answer(RequestId Id, const Answer &Value) override;
  void storeAnswer(RequestId Id) override;
  void dropAnswer(RequestId Id) override;
  void sendClaim(const ProcessId &To, const ClaimMessage &Message) override;
  void sendConfiguration(HostAddress To,
                         const ConfigurationMessage &Message) override;
  void sendCrashReports(HostAddress To,
                        std::span<const CrashReport> Reports) override;
  void readLog(std::uint64_t From, std::size_t Max) override;
  void appendLog(std::string_view Record) override;
  void sendDatagram(HostAddress To, const GossipMessage &Message) override;
  void logEvent(LogEvent Event, const LogFields &Fields) override;

  const Clock &Time;
  const DecisionPorts Ports;
  const ProcessId Self;
  NodeEngine Engine;
  std::unordered_map<RequestId, Entry> Requests;
  std::unordered_map<CallId, HostAddress> Calls;
  /// Answers that the engine keeps; it bounds their bytes.
  std::unordered_map<RequestId, SharedPayload> Kept;
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
