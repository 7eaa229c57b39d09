#ifndef CAMPHORPIN_TESTS_MODEL_MODELNODE_H
#define CAMPHORPIN_TESTS_MODEL_MODELNODE_H

#include "ModelWorker.h"

#include "camphorpin/src/Gateway/AttemptPolicy.h"
#include "camphorpin/src/Gateway/BackendAdmission.h"
#include "camphorpin/src/Gateway/NodeRetryBudget.h"
#include "camphorpin/src/Gateway/PeerSelector.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace camphorpin::model {

class ModelNode;

/// \class Fleet
/// \brief What all nodes of a model share.
struct Fleet {
  EventQueue &Events;
  Random &Source;
  const Scenario &System;
  RetryBudgetSettings Budget;
  std::vector<std::unique_ptr<ModelNode>> Nodes;
};

/// \class RequestEnd
/// \brief What the sender of a request got.
struct RequestEnd {
  unsigned Status = 503;
  Duration RetryAfter;
};

/// \class ModelNode
/// \brief A node with its backend server.
///
/// All decisions are those of the product: BackendAdmission at the gate,
/// PeerSelector, AttemptPolicy and NodeRetryBudget at the entry. The node
/// itself only carries messages.
class ModelNode final : private CallPort {
public:
  using Done = std::function<void(RequestEnd)>;

  ModelNode(Fleet &Owner, std::size_t Index, std::size_t Zone,
            const ServiceSpec &Service, double Speed);

  std::size_t zone() const { return Zone; }
  const std::string &service() const { return Worker.service().Name; }
  ModelWorker &worker() { return Worker; }
  BackendStatus status() const;

  /// A request begins on this host.
  /// \returns a number for leave().
  std::uint64_t request(const RouteSpec &Route, Duration TimeLeft,
                        Done Handler);

  /// The sender of a request has left.
  void leave(std::uint64_t Request);

  /// Periodic work.
  void tick() { Control.tick(); }

private:
  using Reply = std::function<void(PeerAnswer)>;
  /// A call at the gate.
  struct GateCall {
    PeerCall Call;
    const RouteSpec *Route = nullptr;
    Reply Handler;
    Instant Deadline;
    std::uint64_t Run = 0;
  };
  /// A request at the entry.
  struct Entry {
    const RouteSpec *Route = nullptr;
    Done Handler;
    Instant Arrived;
    Instant Deadline;
    std::uint32_t Sends = 0;
    std::uint32_t Refusals = 0;
    bool MayHaveRun = false;
    bool Nested = false;
    std::vector<std::size_t> Tried;
    std::size_t Target = 0;
    std::uint64_t Call = 0;
    Duration RetryAfter;
  };
  /// What this node knows of another one.
  struct View {
    BackendStatus Status;
    bool Known = false;
    Instant At;
    std::size_t Outstanding = 0;
    std::map<std::string, Duration> RouteTimes;
  };

  std::uint64_t call(const RouteSpec &Route, Duration TimeLeft,
                     std::function<void(unsigned)> Handler) override;
  void cancel(std::uint64_t Request) override { leave(Request); }

  void submit(std::uint64_t Id, PeerCall Call, const RouteSpec &Route,
              Reply Handler);
  void cancelCall(std::uint64_t Id);
  void start(std::uint64_t Id);
  void startWaiting();
  void expireWaiting();
  void refuse(std::uint64_t Id, RefusalReason Reason, Duration RetryAfter);
  void onRunEnd(std::uint64_t Id, unsigned Status);
  void answer(std::uint64_t Id, PeerAnswer Answer);

  bool attempt(std::uint64_t Id, Entry &Item);
  PeerCall makeCall(const Entry &Item) const;
  void onAnswer(std::uint64_t Id, std::size_t From, PeerAnswer Answer);
  void act(std::uint64_t Id, Entry &Item, NextStep Step, PeerAnswer &&Answer);
  void finish(std::uint64_t Id, unsigned Status, RefusalReason Reason);
  Duration delayTo(const ModelNode &Other) const;

  Fleet &Owner;
  std::size_t Index;
  std::size_t Zone;
  ModelWorker Worker;
  BackendAdmission Control;
  PeerSelector Selector;
  NodeRetryBudget Budget;
  std::map<std::uint64_t, GateCall> Calls;
  std::map<std::uint64_t, Entry> Requests;
  std::vector<View> Views;
  std::uint64_t NextRequest = 1;
  std::uint64_t NextCall = 1;
  bool ExpiryArmed = false;
};

} // namespace camphorpin::model

#endif
