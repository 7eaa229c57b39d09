#include "camphorpin/src/Admission/RankQueue.h"

#include <algorithm>
#include <cassert>

using namespace camphorpin;
using namespace camphorpin::detail;

namespace {

/// Number of starts by which a caller of weight 1 may exceed its share.
/// Preserves the order by age while callers use nearly equal shares.
constexpr double Burst = 2.0;

} // namespace

void RankQueue::insert(const QueuedCall &Call, double Weight) {
  CallerQueue &Queue = Callers[Call.CallerNumber];
  if (Queue.Waiting.empty()) {
    Queue.VirtualFinish = std::max(Queue.VirtualFinish, VirtualTime);
    WaitingWeight += Weight;
  } else {
    removeFromIndexes(Call.CallerNumber);
    WaitingWeight += Weight - Queue.Weight;
  }
  Queue.Weight = Weight;
  Queue.Waiting.insert(Call.Key);
  ++Count;
  addToIndexes(Call.CallerNumber);
}

void RankQueue::erase(const QueuedCall &Call) {
  CallerQueue &Queue = Callers[Call.CallerNumber];
  removeFromIndexes(Call.CallerNumber);
  const std::size_t Erased = Queue.Waiting.erase(Call.Key);
  assert(Erased == 1 && "the call is not in this queue");
  Count -= Erased;
  if (Queue.Waiting.empty())
    WaitingWeight = Count == 0 ? 0 : WaitingWeight - Queue.Weight;
  else
    addToIndexes(Call.CallerNumber);
}

QueuedCall RankQueue::popNext() {
  assert(!empty() && "no call waits");
  if (Eligible.empty()) {
    VirtualTime = Ineligible.begin()->VirtualFinish;
    updateEligible();
  }
  const HeadKey Head = *Eligible.begin();
  CallerQueue &Queue = Callers[Head.CallerNumber];
  const double Total = WaitingWeight;
  removeFromIndexes(Head.CallerNumber);
  Queue.Waiting.erase(Head.Oldest);
  --Count;
  Queue.VirtualFinish += 1 / Queue.Weight;
  VirtualTime += 1 / Total;
  if (Queue.Waiting.empty())
    WaitingWeight = Count == 0 ? 0 : WaitingWeight - Queue.Weight;
  else
    addToIndexes(Head.CallerNumber);
  updateEligible();
  return {.Key = Head.Oldest, .CallerNumber = Head.CallerNumber};
}

QueuedCall RankQueue::evictionCandidate() const {
  assert(!empty() && "no call waits");
  const EvictionKey &Largest = *EvictionOrder.rbegin();
  return {.Key = Largest.Youngest, .CallerNumber = Largest.CallerNumber};
}

double RankQueue::estimatedCallsAhead(const QueuedCall &Call,
                                      double Weight) const {
  if (empty())
    return 0;
  const CallerQueue &Queue = Callers[Call.CallerNumber];
  double AheadOfSameCaller = 0;
  double Total = WaitingWeight;
  if (Queue.Waiting.empty()) {
    Total += Weight;
  } else {
    const Instant Oldest = Queue.Waiting.begin()->Created;
    const Instant Youngest = Queue.Waiting.rbegin()->Created;
    const double Span = (Youngest - Oldest).toMillis();
    const double Offset = (Call.Key.Created - Oldest).toMillis();
    const double Position = Span > 0 ? std::clamp(Offset / Span, 0.0, 1.0)
                                     : (Offset >= 0 ? 1.0 : 0.0);
    AheadOfSameCaller = Position * static_cast<double>(Queue.Waiting.size());
    Weight = Queue.Weight;
  }
  // Between two starts of this caller, Total / Weight calls start (one round).
  // On average half a round passes before its next start.
  constexpr double HalfRound = 0.5;
  const double CallsAhead = (AheadOfSameCaller + HalfRound) * Total / Weight;
  return std::min(static_cast<double>(Count), CallsAhead);
}

void RankQueue::removeFromIndexes(std::uint16_t CallerNumber) {
  const CallerQueue &Queue = Callers[CallerNumber];
  if (Queue.Eligible)
    Eligible.erase({*Queue.Waiting.begin(), CallerNumber});
  else
    Ineligible.erase({Queue.VirtualFinish, CallerNumber});
  EvictionOrder.erase({static_cast<double>(Queue.Waiting.size()) / Queue.Weight,
                       *Queue.Waiting.rbegin(), CallerNumber});
}

void RankQueue::addToIndexes(std::uint16_t CallerNumber) {
  CallerQueue &Queue = Callers[CallerNumber];
  Queue.Eligible = Queue.VirtualFinish <= VirtualTime + Burst;
  if (Queue.Eligible)
    Eligible.insert({*Queue.Waiting.begin(), CallerNumber});
  else
    Ineligible.insert({Queue.VirtualFinish, CallerNumber});
  EvictionOrder.insert(
      {static_cast<double>(Queue.Waiting.size()) / Queue.Weight,
       *Queue.Waiting.rbegin(), CallerNumber});
}

void RankQueue::updateEligible() {
  while (!Ineligible.empty() &&
         Ineligible.begin()->VirtualFinish <= VirtualTime + Burst) {
    const std::uint16_t CallerNumber = Ineligible.begin()->CallerNumber;
    Ineligible.erase(Ineligible.begin());
    CallerQueue &Queue = Callers[CallerNumber];
    Queue.Eligible = true;
    Eligible.insert({*Queue.Waiting.begin(), CallerNumber});
  }
}
