#include "camphorpin/src/Admission/AdmissionState.h"

#include <algorithm>
#include <cassert>
#include <utility>

using namespace camphorpin;
using namespace camphorpin::detail;

AdmissionState::AdmissionState(const MeshPolicy &Mesh,
                               const ServicePolicy &Service,
                               AdmissionListener &Listener,
                               std::unique_ptr<ConcurrencyLimit> Limit)
    : Listener(Listener), Shares(Mesh), Level(Mesh.Ranks.size()),
      Limit(std::move(Limit)), Queues(MaxRanks) {
  setMeshPolicy(Mesh);
  setServicePolicy(Service);
}

void AdmissionState::setMeshPolicy(const MeshPolicy &Mesh) {
  Shares.setPolicy(Mesh);
  Level.setRanks(Mesh.Ranks.size());
  Callers.setShares(Mesh.CallerShares);
}

void AdmissionState::setServicePolicy(const ServicePolicy &Service) {
  Limit->setSlots(Service.Slots);
  QueueLimit = Service.QueueLimit;
  CancelLowerRanks = Service.CancelLowerRanks;
  evictExcess();
}

void AdmissionState::onBackendRestarted() {
  Limit->restart();
  ServiceTimes.clear();
}

CallRecord AdmissionState::makeRecord(const AdmissionRequest &Request,
                                      Instant Now) {
  const std::uint8_t LeastUrgent =
      static_cast<std::uint8_t>(Shares.ranks() - 1);
  const std::uint8_t Bucket =
      ServiceTimeEstimator::bucketOf(Request.OperationHash);
  const Instant Deadline = Now + Request.Remaining;
  return {.Key = {.Created = Now - Request.Age, .Id = Request.Id},
          .Rank = std::min(Request.Rank.index(), LeastUrgent),
          .OperationBucket = Bucket,
          .Idempotent = Request.Idempotent,
          .Deadline = Deadline,
          .LatestOrActualStart = Deadline - ServiceTimes.expected(Bucket, Now)};
}

void AdmissionState::offer(const AdmissionRequest &Request, Instant Now) {
  assert(!Calls.contains(Request.Id) && "the id is already queued or running");
  CallRecord Call = makeRecord(Request, Now);
  Level.onOffered(Rank(Call.Rank));
  if (Draining)
    return Listener.refuse(Request.Id, RefusalReason::Draining);
  if (Call.LatestOrActualStart <= Now)
    return Listener.refuse(Request.Id, RefusalReason::Deadline);
  Call.CallerNumber = Callers.acquire(Request.Caller);
  if (canStartAtOnce(Call.Rank)) {
    start(Calls.emplace(Request.Id, Call).first->second, Now);
    return;
  }
  if (Now + expectedWait(Call) >= Call.LatestOrActualStart) {
    Callers.release(Call.CallerNumber);
    Level.onRefused(Rank(Call.Rank));
    return Listener.refuse(Request.Id, RefusalReason::Deadline);
  }
  Calls.emplace(Request.Id, Call);
  enqueue(Call);
  dispatch(Now);
  evictExcess();
  if (Call.Rank == 0)
    preemptForUrgentCalls();
}

bool AdmissionState::canStartAtOnce(std::size_t Rank) const {
  return queued() == 0 && RunningTotal < limit() &&
         Shares.belowCap(Rank, RunningByRank[Rank], limit());
}

Duration AdmissionState::expectedWait(const CallRecord &Call) const {
  const double AheadInRank = Queues[Call.Rank].estimatedCallsAhead(
      {.Key = Call.Key, .CallerNumber = Call.CallerNumber},
      Callers.weight(Call.CallerNumber));
  double AheadTotal = AheadInRank;
  for (std::size_t Index = 0; Index < Call.Rank; ++Index)
    AheadTotal += static_cast<double>(Queues[Index].size());
  double Rounds = std::max(AheadTotal / limit(),
                           AheadInRank / Shares.capSlots(Call.Rank, limit()));
  // The floor bounds the wait even if more urgent ranks are overloaded.
  const double FloorSlots = Shares.floorSlots(Call.Rank, limit());
  const Duration Wait = ServiceTimes.mean() * Rounds;
  if (FloorSlots == 0)
    return Wait;
  return std::min(Wait, ServiceTimes.mean(Call.OperationBucket) *
                            ((AheadInRank + 1) / FloorSlots));
}

void AdmissionState::enqueue(const CallRecord &Call) {
  Queues[Call.Rank].insert({.Key = Call.Key, .CallerNumber = Call.CallerNumber},
                           Callers.weight(Call.CallerNumber));
  LatestStarts.insert({Call.LatestOrActualStart, Call.Key.Id});
}

void AdmissionState::dequeue(const CallRecord &Call) {
  Queues[Call.Rank].erase({.Key = Call.Key, .CallerNumber = Call.CallerNumber});
  LatestStarts.erase({Call.LatestOrActualStart, Call.Key.Id});
}

void AdmissionState::start(CallRecord &Call, Instant Now) {
  Call.Running = true;
  Call.LatestOrActualStart = Now;
  ++RunningTotal;
  ++RunningByRank[Call.Rank];
  if (Call.Idempotent && !Call.Protected)
    Cancellable[Call.Rank].insert(Call.Key);
  Listener.start(Call.Key.Id);
}

void AdmissionState::onFinished(std::uint64_t Id, AdmissionOutcome Outcome,
                                Instant Now, Duration DownstreamTime) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end() || !Found->second.Running)
    return;
  const CallRecord Call = Found->second;
  recordOutcome(Call, Outcome, Now, DownstreamTime);
  Calls.erase(Found);
  Callers.release(Call.CallerNumber);
  Cancellable[Call.Rank].erase(Call.Key);
  --RunningTotal;
  --RunningByRank[Call.Rank];
  if (Call.CancelSent) {
    --CancelledTotal;
    --CancelledByRank[Call.Rank];
  }
  dispatch(Now);
}

void AdmissionState::recordOutcome(const CallRecord &Call,
                                   AdmissionOutcome Outcome, Instant Now,
                                   Duration DownstreamTime) {
  if (Outcome == AdmissionOutcome::BackendShed)
    return Limit->onBackendShed(RunningTotal, Now);
  const Duration SlotTime = Now - Call.LatestOrActualStart;
  // A call that failed or was cancelled before the expected service time gives
  // no information on the service time; one that ended later gives a lower
  // bound.
  if (Outcome != AdmissionOutcome::Completed &&
      SlotTime < ServiceTimes.expected(Call.OperationBucket, Now))
    return;
  const double Slowdown = ServiceTimes.record(Call.OperationBucket, SlotTime,
                                              SlotTime - DownstreamTime, Now);
  Limit->onFinished({.Slowdown = Slowdown,
                     .Running = RunningTotal,
                     .AtLimit = queued() > 0 || RunningTotal >= limit()},
                    Now);
}

void AdmissionState::onCancelled(std::uint64_t Id, Instant Now) {
  const auto Found = Calls.find(Id);
  if (Found == Calls.end())
    return;
  if (!Found->second.Running)
    refuseQueued(Id, RefusalReason::Cancelled);
  else if (!Found->second.CancelSent)
    cancelRunningCall(Found->second);
  dispatch(Now);
}

void AdmissionState::tick(Instant Now) {
  dispatch(Now);
  Level.tick(queued() > 0, Now);
}

void AdmissionState::refuseQueued(std::uint64_t Id, RefusalReason Reason) {
  const auto Found = Calls.find(Id);
  assert(Found != Calls.end() && !Found->second.Running && "not queued");
  const CallRecord Call = Found->second;
  dequeue(Call);
  Calls.erase(Found);
  Callers.release(Call.CallerNumber);
  if (Reason != RefusalReason::Cancelled)
    Level.onRefused(Rank(Call.Rank));
  Listener.refuse(Id, Reason);
}

void AdmissionState::refuseExpired(Instant Now) {
  while (!LatestStarts.empty() && LatestStarts.begin()->LatestStart < Now)
    refuseQueued(LatestStarts.begin()->Id, RefusalReason::Deadline);
}

void AdmissionState::evictExcess() {
  while (queued() > QueueLimit) {
    const QueuedCall Victim = Queues[evictionRank()].evictionCandidate();
    refuseQueued(Victim.Key.Id, RefusalReason::Overloaded);
  }
}

std::size_t AdmissionState::evictionRank() const {
  std::size_t LeastUrgent = 0;
  for (std::size_t Index = Queues.size(); Index-- > 0;) {
    if (Queues[Index].empty())
      continue;
    LeastUrgent = std::max(LeastUrgent, Index);
    if (Queues[Index].size() > Shares.floorPlaces(Index, QueueLimit))
      return Index;
  }
  return LeastUrgent;
}

void AdmissionState::dispatch(Instant Now) {
  refuseExpired(Now);
  while (queued() > 0 && RunningTotal < limit()) {
    const std::optional<NextRank> Rank = nextRank(Now);
    if (!Rank)
      return;
    const QueuedCall Next = Queues[Rank->Index].popNext();
    CallRecord &Call = Calls.at(Next.Key.Id);
    if (Rank->FromFloor) {
      Shares.charge(Rank->Index, ServiceTimes.mean(Call.OperationBucket));
      Call.Protected = true;
    }
    LatestStarts.erase({Call.LatestOrActualStart, Call.Key.Id});
    start(Call, Now);
  }
}

std::optional<AdmissionState::NextRank> AdmissionState::nextRank(Instant Now) {
  const std::uint32_t Total = limit();
  Shares.advance(Total, Now);
  for (std::size_t Index = 0; Index < Queues.size(); ++Index) {
    if (!Queues[Index].empty() &&
        Shares.belowFloor(Index, RunningByRank[Index], Total))
      return NextRank{.Index = Index, .FromFloor = true};
  }
  for (std::size_t Index = 0; Index < Queues.size(); ++Index)
    if (!Queues[Index].empty() &&
        Shares.belowCap(Index, RunningByRank[Index], Total))
      return NextRank{.Index = Index};
  return std::nullopt;
}

void AdmissionState::preemptForUrgentCalls() {
  if (!CancelLowerRanks || RunningTotal < limit() ||
      CancelledTotal >= Queues[0].size())
    return;
  for (std::size_t Index = Queues.size(); Index-- > 1;) {
    const std::size_t NotCancelled =
        RunningByRank[Index] - CancelledByRank[Index];
    if (Cancellable[Index].empty() ||
        static_cast<double>(NotCancelled) <= Shares.floorSlots(Index, limit()))
      continue;
    const std::uint64_t Youngest = Cancellable[Index].rbegin()->Id;
    return cancelRunningCall(Calls.at(Youngest));
  }
}

void AdmissionState::cancelRunningCall(CallRecord &Call) {
  Call.CancelSent = true;
  ++CancelledTotal;
  ++CancelledByRank[Call.Rank];
  Cancellable[Call.Rank].erase(Call.Key);
  Listener.cancelRunning(Call.Key.Id);
}
