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
  CallerQueue &Queue = Callers[Call.Caller];
  if (Queue.Waiting.empty()) {
    Queue.VirtualFinish = std::max(Queue.VirtualFinish, VirtualTime);
    WaitingWeight += Weight;
  } else {
    removeFromIndexes(Call.Caller);
    WaitingWeight += Weight - Queue.Weight;
  }
  Queue.Weight = Weight;
  Queue.Waiting.insert(Call.Key);
  ++Count;
  addToIndexes(Call.Caller);
}

void RankQueue::erase(const QueuedCall &Call) {
  CallerQueue &Queue = Callers[Call.Caller];
  removeFromIndexes(Call.Caller);
  const std::size_t Erased = Queue.Waiting.erase(Call.Key);
  assert(Erased == 1 && "the call is not in this queue");
  Count -= Erased;
  if (Queue.Waiting.empty())
    WaitingWeight = Count == 0 ? 0 : WaitingWeight - Queue.Weight;
  else
    addToIndexes(Call.Caller);
}

QueuedCall RankQueue::popNext() {
  assert(!empty() && "no call waits");
  if (Eligible.empty()) {
    VirtualTime = Ineligible.begin()->VirtualFinish;
    updateEligible();
  }
  const HeadKey Head = *Eligible.begin();
  CallerQueue &Queue = Callers[Head.Caller];
  const double Total = WaitingWeight;
  removeFromIndexes(Head.Caller);
  Queue.Waiting.erase(Head.Oldest);
  --Count;
  Queue.VirtualFinish += 1 / Queue.Weight;
  VirtualTime += 1 / Total;
  if (Queue.Waiting.empty())
    WaitingWeight = Count == 0 ? 0 : WaitingWeight - Queue.Weight;
  else
    addToIndexes(Head.Caller);
  updateEligible();
  return {.Key = Head.Oldest, .Caller = Head.Caller};
}

QueuedCall RankQueue::evictionCandidate() const {
  assert(!empty() && "no call waits");
  const EvictionKey &Largest = *EvictionOrder.rbegin();
  return {.Key = Largest.Youngest, .Caller = Largest.Caller};
}

double RankQueue::estimatedCallsAhead(const QueuedCall &Call,
                                      double Weight) const {
  if (empty())
    return 0;
  const CallerQueue &Queue = Callers[Call.Caller];
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
  // Between two starts of this caller the others take one round; the mean wait
  // for the next start is half a round.
  constexpr double HalfRound = 0.5;
  const double Rounds = (AheadOfSameCaller + HalfRound) * Total / Weight;
  return std::min(static_cast<double>(Count), Rounds);
}

void RankQueue::removeFromIndexes(std::uint16_t Number) {
  const CallerQueue &Queue = Callers[Number];
  if (Queue.Eligible)
    Eligible.erase({*Queue.Waiting.begin(), Number});
  else
    Ineligible.erase({Queue.VirtualFinish, Number});
  EvictionOrder.erase({static_cast<double>(Queue.Waiting.size()) / Queue.Weight,
                       *Queue.Waiting.rbegin(), Number});
}

void RankQueue::addToIndexes(std::uint16_t Number) {
  CallerQueue &Queue = Callers[Number];
  Queue.Eligible = Queue.VirtualFinish <= VirtualTime + Burst;
  if (Queue.Eligible)
    Eligible.insert({*Queue.Waiting.begin(), Number});
  else
    Ineligible.insert({Queue.VirtualFinish, Number});
  EvictionOrder.insert(
      {static_cast<double>(Queue.Waiting.size()) / Queue.Weight,
       *Queue.Waiting.rbegin(), Number});
}

void RankQueue::updateEligible() {
  while (!Ineligible.empty() &&
         Ineligible.begin()->VirtualFinish <= VirtualTime + Burst) {
    const std::uint16_t Number = Ineligible.begin()->Caller;
    Ineligible.erase(Ineligible.begin());
    CallerQueue &Queue = Callers[Number];
    Queue.Eligible = true;
    Eligible.insert({*Queue.Waiting.begin(), Number});
  }
}
