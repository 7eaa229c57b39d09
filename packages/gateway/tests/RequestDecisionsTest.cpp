#include "camphorpin/src/Gateway/AttemptPolicy.h"
#include "camphorpin/src/Gateway/CallFailure.h"
#include "camphorpin/src/Gateway/NodeRetryBudget.h"
#include "camphorpin/src/Gateway/PeerSelector.h"
#include "camphorpin/src/Gateway/SlotQueue.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace camphorpin;

namespace {

SlotRequest request(std::uint64_t Id, std::uint8_t Rank) {
  SlotRequest Result;
  Result.Id = Id;
  Result.Route = "r";
  Result.Rank = Rank;
  Result.Objective = Duration::seconds(1);
  Result.Deadline = Instant::fromMillis(100000);
  return Result;
}

RequestProgress progress(bool Idempotent) {
  RequestProgress Result;
  Result.Idempotent = Idempotent;
  Result.MaxAttempts = 2;
  Result.BackendSends = 1;
  Result.TimeLeft = Duration::seconds(1);
  Result.Objective = Duration::seconds(1);
  return Result;
}

PeerAnswer answer(CallOutcome Outcome, std::uint16_t Status = 0) {
  PeerAnswer Result;
  Result.Outcome = Outcome;
  Result.StatusCode = Status;
  return Result;
}

} // namespace

// Guards against sending the backend server more requests than it has slots;
// some servers never answer the excess ones.
Test(SlotQueue, neverStartsMoreRequestsThanSlots) {
  cr_assert(rc::check([](const std::vector<std::uint8_t> &Steps) {
    SlotQueue Queue;
    Queue.setSlots(3);
    std::vector<std::uint64_t> Running;
    std::uint64_t NextId = 1;
    Instant Now = Instant::fromMillis(1000);
    for (const std::uint8_t Step : Steps) {
      Now = Now + Duration::millis(Step % 7);
      if (Step % 3 == 0 && !Running.empty()) {
        Queue.finish(Running.back(), Now, DurationMeaning::LocalWork);
        Running.pop_back();
        while (const std::optional<SlotRequest> Next = Queue.takeNext(Now))
          Running.push_back(Next->Id);
      } else {
        const std::uint64_t Id = NextId++;
        const SlotRequest Request = request(Id, Step % 4);
        if (Queue.offer(Request, Now).Choice == AdmissionChoice::Start)
          Running.push_back(Id);
      }
      RC_ASSERT(Running.size() == Queue.running());
      RC_ASSERT(Queue.running() <= 3U);
    }
  }));
}

// Guards against urgent requests that wait behind less urgent ones.
Test(SlotQueue, startsMostUrgentRankFirst) {
  SlotQueue Queue;
  Queue.setSlots(1);
  const Instant Now = Instant::fromMillis(1000);
  Queue.offer(request(1, 2), Now);
  Queue.offer(request(2, 2), Now);
  Queue.offer(request(3, 0), Now);
  Queue.finish(1, Now + Duration::millis(10), DurationMeaning::LocalWork);
  cr_assert_eq(Queue.takeNext(Now)->Id, 3);
}

// Guards against queueing a request that can no longer be served in time: the
// caller should be able to retry while the answer is still useful.
Test(SlotQueue, refusesImmediatelyIfWaitIsTooLong) {
  SlotQueue Queue;
  Queue.setSlots(1);
  Instant Now = Instant::fromMillis(1000);
  Queue.offer(request(1, 1), Now);
  Now = Now + Duration::millis(400);
  Queue.finish(1, Now, DurationMeaning::LocalWork);
  Queue.offer(request(2, 1), Now);
  const QueueDecision Decision = Queue.offer(request(3, 1), Now);
  cr_assert_eq(Decision.Choice, AdmissionChoice::Refuse);
  cr_assert_geq(Decision.RetryAfter, Duration::millis(400));
}

// Guards against requests that wait forever behind a server that hangs: they
// expire after 30 % of the latency objective of 1 s.
Test(SlotQueue, waitingRequestsExpire) {
  SlotQueue Queue;
  Queue.setSlots(1);
  const Instant Now = Instant::fromMillis(1000);
  Queue.offer(request(1, 1), Now);
  cr_assert_eq(Queue.offer(request(2, 1), Now).Choice, AdmissionChoice::Queue);
  cr_assert(Queue.takeExpired(Now + Duration::millis(299)).empty());
  cr_assert_eq(Queue.takeExpired(Now + Duration::millis(301)).size(), 1);
  cr_assert_eq(Queue.queued(), 0);
}

// Guards against a second execution of a non-idempotent request. A request that
// the backend server shed was not executed and may be retried.
Test(AttemptPolicy, doesNotRetryNonIdempotentRequestThatMayHaveRun) {
  cr_assert_eq(
      AttemptPolicy::next(progress(false), answer(CallOutcome::Failed)),
      NextStep::FailMayHaveRun);
  cr_assert_eq(
      AttemptPolicy::next(progress(false), answer(CallOutcome::Answered, 500)),
      NextStep::Deliver);
  cr_assert_eq(AttemptPolicy::next(progress(false), answer(CallOutcome::Shed)),
               NextStep::Retry);
}

// Guards backend servers against requests that can't complete in time. A retry
// needs half of the service time of the route, because another server may be
// faster than the one that reported it.
Test(AttemptPolicy, doesNotRetryWithoutTimeForARun) {
  RequestProgress Progress = progress(true);
  Progress.TimeLeft = Duration::millis(80);
  PeerAnswer Lost = answer(CallOutcome::Failed);
  Lost.RouteTime = Duration::millis(120);
  cr_assert_eq(AttemptPolicy::next(Progress, Lost), NextStep::Retry);
  Lost.RouteTime = Duration::millis(400);
  cr_assert_eq(AttemptPolicy::next(Progress, Lost), NextStep::FailMayHaveRun);
}

// Guards against wasting a run because of one refused call: a retry by its
// caller would start from the beginning, while another node may have a free
// slot. A nested call therefore tries up to three nodes. A request of a caller
// tries no other node after 35 % of its latency objective, because the caller
// needs the rest for its own retry.
Test(AttemptPolicy, refusedNestedCallTriesAnotherNode) {
  RequestProgress Progress = progress(true);
  Progress.Refusals = 1;
  Progress.Elapsed = Duration::millis(500);
  const PeerAnswer Refused = answer(CallOutcome::Refused);
  cr_assert_eq(AttemptPolicy::next(Progress, Refused), NextStep::RefuseNotRun);
  Progress.Nested = true;
  cr_assert_eq(AttemptPolicy::next(Progress, Refused),
               NextStep::TryAnotherNode);
  Progress.Refusals = 3;
  cr_assert_eq(AttemptPolicy::next(Progress, Refused), NextStep::RefuseNotRun);
}

// Guards the operator's limit on attempts, and against retrying a run whose
// dependency failed.
Test(AttemptPolicy, retriesIdempotentRequestUpToMaxAttempts) {
  cr_assert_eq(AttemptPolicy::next(progress(true), answer(CallOutcome::Failed)),
               NextStep::Retry);
  RequestProgress Exhausted = progress(true);
  Exhausted.BackendSends = 2;
  cr_assert_eq(AttemptPolicy::next(Exhausted, answer(CallOutcome::Failed)),
               NextStep::FailMayHaveRun);
  PeerAnswer Dependency = answer(CallOutcome::Answered, 500);
  Dependency.Reason = RefusalReason::Shed;
  cr_assert_eq(AttemptPolicy::next(progress(true), Dependency),
               NextStep::Deliver);
}

// Guards the fleet's retry budget: the sum over all nodes stays within it
// although they don't communicate. Also guards against a budget that allows
// hardly any retries.
Test(NodeRetryBudget, sumOverNodesStaysWithinTheBudget) {
  constexpr int Nodes = 13;
  RetryBudgetSettings Settings;
  Settings.Ratio = 0.2;
  Settings.Slack = 49;
  std::vector<NodeRetryBudget> Fleet(Nodes, NodeRetryBudget(Settings));
  int Requests = 0;
  int Retries = 0;
  for (int Millis = 0; Millis < 10000; Millis += 10) {
    NodeRetryBudget &Node =
        Fleet[static_cast<std::size_t>(Millis / 10 % Nodes)];
    const Instant Now = Instant::fromMillis(50000 + Millis);
    Node.onRequest("s", Now);
    ++Requests;
    while (Node.tryRetry("s", /*MakesNestedCalls=*/false, Nodes, Now))
      ++Retries;
  }
  cr_assert_leq(Retries, 0.2 * Requests + 49);
  cr_assert_gt(Retries, 0.05 * Requests);
}

// Guards against sending requests to nodes that are unavailable, unusable or
// already tried.
Test(PeerSelector, skipsUnavailableAndTriedNodes) {
  SeededRandom RandomSource(20261204);
  PeerSelector Selector(RandomSource);
  std::vector<PeerCandidate> Candidates(3);
  Candidates[0].StatusKnown = true;
  Candidates[1].Tried = true;
  Candidates[2].Usable = false;
  cr_assert_not(Selector.choose(Candidates, {}).has_value());
  Candidates[0].Status.Available = true;
  cr_assert_eq(*Selector.choose(Candidates, {}), 0);
}

// Guards against sending a full server as many requests as others get.
Test(PeerSelector, prefersNodeInAnotherZoneToAFullOne) {
  SeededRandom RandomSource(20261204);
  PeerSelector Selector(RandomSource);
  std::vector<PeerCandidate> Candidates(2);
  for (PeerCandidate &Item : Candidates) {
    Item.StatusKnown = true;
    Item.Status = {/*Available=*/true,
                   /*Draining=*/false,
                   /*Running=*/0,
                   /*Queued=*/0,
                   /*Limit=*/10,
                   /*Wait=*/Duration(),
                   /*ServiceTime=*/Duration::millis(100)};
  }
  Candidates[0].SameZone = true;
  cr_assert_eq(*Selector.choose(Candidates, {}), 0);
  Candidates[0].Status.Running = 10;
  Candidates[0].Status.Queued = 10;
  cr_assert_eq(*Selector.choose(Candidates, {}), 1);
}

// Guards against requests that wait for a host that is gone while another
// server could execute them, and against refusing all requests while a fleet
// restarts.
Test(PeerSelector, choosesReconnectingNodeLast) {
  SeededRandom RandomSource(20261204);
  PeerSelector Selector(RandomSource);
  std::vector<PeerCandidate> Candidates(2);
  Candidates[0].SameZone = true;
  Candidates[0].Reconnecting = true;
  Candidates[1].StatusKnown = true;
  Candidates[1].Status = {/*Available=*/true,
                          /*Draining=*/false,
                          /*Running=*/40,
                          /*Queued=*/40,
                          /*Limit=*/10,
                          /*Wait=*/Duration(),
                          /*ServiceTime=*/Duration::millis(500)};
  cr_assert_eq(*Selector.choose(Candidates, {}), 1);
  Candidates[1].Tried = true;
  cr_assert_eq(*Selector.choose(Candidates, {}), 0);
}

// Guards requests against a server that fails some of them while its health
// checks succeed, and that server against never being used again.
Test(PeerSelector, avoidsFaultyServerAndRetriesItLater) {
  SeededRandom RandomSource(20261204);
  PeerSelector Selector(RandomSource);
  std::vector<PeerCandidate> Candidates(2);
  for (PeerCandidate &Item : Candidates) {
    Item.SameZone = true;
    Item.StatusKnown = true;
    Item.Status = {/*Available=*/true,
                   /*Draining=*/false,
                   /*Running=*/0,
                   /*Queued=*/0,
                   /*Limit=*/10,
                   /*Wait=*/Duration(),
                   /*ServiceTime=*/Duration::millis(60)};
  }
  Candidates[0].RouteTime = Duration::millis(50);
  Candidates[1].RouteTime = Duration::millis(80);
  cr_assert_eq(*Selector.choose(Candidates, {}), 0);
  Candidates[0].Status.FailureRate = 0.4;
  cr_assert_eq(*Selector.choose(Candidates, {}), 1);
  Candidates[0].StatusAge = Duration::seconds(20);
  cr_assert_eq(*Selector.choose(Candidates, {}), 0);
}

// Guards called services against the load of retries that make nested calls:
// such a retry costs 6 units of the budget, any other costs 1. A node may use
// 60 % of its share, which is 30 of 50 units.
Test(NodeRetryBudget, retryWithNestedCallsCostsMore) {
  RetryBudgetSettings Settings;
  Settings.Ratio = 0;
  Settings.Slack = 50;
  NodeRetryBudget Leaf(Settings);
  NodeRetryBudget Calling(Settings);
  const Instant Now = Instant::fromMillis(50000);
  int LeafRetries = 0;
  int CallingRetries = 0;
  while (Leaf.tryRetry("s", /*MakesNestedCalls=*/false, 1, Now))
    ++LeafRetries;
  while (Calling.tryRetry("s", /*MakesNestedCalls=*/true, 1, Now))
    ++CallingRetries;
  cr_assert_eq(LeafRetries, 30);
  cr_assert_eq(CallingRetries, 5);
}

// Guards requests with a tight objective against a slow server in their own
// zone, and against paying for cross-zone traffic of requests with a loose
// objective.
Test(PeerSelector, crossesZonesOnlyForTightObjectives) {
  SeededRandom RandomSource(20261204);
  PeerSelector Selector(RandomSource);
  std::vector<PeerCandidate> Candidates(2);
  for (PeerCandidate &Item : Candidates) {
    Item.StatusKnown = true;
    Item.Status = {/*Available=*/true,
                   /*Draining=*/false,
                   /*Running=*/0,
                   /*Queued=*/0,
                   /*Limit=*/10,
                   /*Wait=*/Duration(),
                   /*ServiceTime=*/Duration::millis(60)};
  }
  Candidates[0].SameZone = true;
  Candidates[0].RouteTime = Duration::millis(107);
  Candidates[1].RouteTime = Duration::millis(46);
  const double Small = 1000;
  const double Large = 20000;
  cr_assert_eq(*Selector.choose(Candidates, {0, Duration::millis(200), Small}),
               1);
  cr_assert_eq(*Selector.choose(Candidates, {0, Duration::millis(1500), Small}),
               0);
  cr_assert_eq(*Selector.choose(Candidates, {0, Duration::millis(200), Large}),
               0);
  cr_assert_eq(*Selector.choose(Candidates, {2, Duration::millis(200), Small}),
               0);
}

// Guards against limiting a route because of reset connections and lost
// answers: such failures are as frequent with fewer runs. A service without a
// backend server is no reason for a limit either, but it rules out a retry.
Test(CallFailure, onlyOverloadLowersLimits) {
  using enum RefusalReason;
  cr_assert_eq(classifyFailure(Overloaded, 503), CallFailure::Overload);
  cr_assert_eq(classifyFailure(Shed, 500), CallFailure::Overload);
  cr_assert_eq(classifyFailure(BackendShed, 503), CallFailure::Overload);
  cr_assert_eq(classifyFailure(Deadline, 504), CallFailure::Overload);
  cr_assert_eq(classifyFailure(BackendFailed, 502), CallFailure::Lost);
  cr_assert_eq(classifyFailure(PeerFailed, 502), CallFailure::Lost);
  cr_assert_eq(classifyFailure(BackendFailed, 500), CallFailure::Lost);
  cr_assert_eq(classifyFailure(NoBackend, 503), CallFailure::Unavailable);
  cr_assert_eq(classifyFailure(Draining, 503), CallFailure::Unavailable);
}
