#include "camphorpin/src/Gateway/SlotQueue.h"

#include <algorithm>

namespace camphorpin {

namespace {

/// Weight of the latest sample in the smoothed service time.
constexpr double SmoothingWeight = 0.1;
/// Minimum weight of the latest sample in the long-term service time.
constexpr double MinLongTermWeight = 0.005;
/// Fraction of the latency objective that a request may spend waiting for a
/// slot. The caller needs the rest for its own retry.
constexpr double MaxWaitFraction = 0.3;
/// Minimum retry delay, so that a refused caller does not return to the queue
/// that has just refused it.
constexpr Duration MinRetryAfter = Duration::millis(100);

void smooth(double &Value, double Sample) {
  Value = Value == 0 ? Sample : Value + SmoothingWeight * (Sample - Value);
}

} // namespace

double SlotQueue::expectedMillis(const std::string &Route) const {
  const auto Found = RouteTimes.find(Route);
  return Found == RouteTimes.end() ? MeanMillis : Found->second.Recent;
}

Instant SlotQueue::latestStart(const SlotRequest &Request, Instant Now) const {
  const Instant ByObjective =
      Now +
      std::max(Duration(), Request.Objective * MaxWaitFraction - Request.Age);
  const Instant ByDeadline =
      Request.Deadline - Duration::fromMillis(expectedMillis(Request.Route));
  return std::min(ByObjective, ByDeadline);
}

Duration SlotQueue::estimatedWait(std::uint8_t Rank) const {
  if (Running.size() < limit() && Waiting.empty())
    return Duration();
  // One slot for the request itself, and one for each request ahead of it.
  std::size_t SlotsToFree = 1;
  for (const Entry &Item : Waiting) {
    if (Item.Request.Rank > Rank)
      break;
    ++SlotsToFree;
  }
  const double MillisBetweenFreeSlots = MeanMillis / limit();
  return Duration::fromMillis(MillisBetweenFreeSlots *
                              static_cast<double>(SlotsToFree));
}

QueueDecision SlotQueue::offer(const SlotRequest &Request, Instant Now) {
  QueueDecision Result;
  if (Running.size() < limit() && Waiting.empty()) {
    begin(Request, Now);
    return Result;
  }
  Result.EstimatedWait = estimatedWait(Request.Rank);
  const Instant Latest = latestStart(Request, Now);
  if (Now + Result.EstimatedWait > Latest || Waiting.size() >= MaxQueued) {
    Result.Choice = AdmissionChoice::Refuse;
    Result.RetryAfter = std::max(MinRetryAfter, Result.EstimatedWait);
    return Result;
  }
  Result.Choice = AdmissionChoice::Queue;
  const auto Position = Waiting.insert({Request, Now, Latest, NextOrder++});
  Index[Request.Id] = Position;
  return Result;
}

void SlotQueue::begin(const SlotRequest &Request, Instant Now) {
  Running[Request.Id] =
      Run{Now, Request.Route, Limit.onStart(Running.size() + 1)};
}

void SlotQueue::finish(std::uint64_t Id, Instant Now, DurationMeaning Meaning) {
  const auto Found = Running.find(Id);
  if (Found == Running.end())
    return;
  const Run Ended = std::move(Found->second);
  Running.erase(Found);
  if (Meaning != DurationMeaning::Nothing)
    recordDuration(Ended, Now, Meaning);
}

void SlotQueue::recordDuration(const Run &Ended, Instant Now,
                               DurationMeaning Meaning) {
  const double Sample = (Now - Ended.Started).toMillis();
  RouteTime &Time = RouteTimes[Ended.Route];
  smooth(MeanMillis, Sample);
  smooth(Time.Recent, Sample);
  ++Time.Runs;
  const double Weight =
      std::max(MinLongTermWeight, 1 / static_cast<double>(Time.Runs));
  Time.LongTerm += Weight * (Sample - Time.LongTerm);
  if (Meaning == DurationMeaning::LocalWork && Time.LongTerm > 0)
    Limit.onFinished(Ended.WindowTag, Sample / Time.LongTerm);
}

std::optional<SlotRequest> SlotQueue::takeNext(Instant Now) {
  if (Running.size() >= limit() || Waiting.empty())
    return std::nullopt;
  SlotRequest Result = Waiting.begin()->Request;
  Index.erase(Result.Id);
  Waiting.erase(Waiting.begin());
  begin(Result, Now);
  return Result;
}

std::vector<SlotRequest> SlotQueue::takeExpired(Instant Now) {
  std::vector<SlotRequest> Result;
  for (auto Item = Waiting.begin(); Item != Waiting.end();) {
    if (Item->LatestStart >= Now) {
      ++Item;
      continue;
    }
    Result.push_back(Item->Request);
    Index.erase(Item->Request.Id);
    Item = Waiting.erase(Item);
  }
  return Result;
}

std::vector<SlotRequest> SlotQueue::takeAll() {
  std::vector<SlotRequest> Result;
  for (const Entry &Item : Waiting)
    Result.push_back(Item.Request);
  Waiting.clear();
  Index.clear();
  return Result;
}

bool SlotQueue::remove(std::uint64_t Id) {
  const auto Found = Index.find(Id);
  if (Found == Index.end())
    return false;
  Waiting.erase(Found->second);
  Index.erase(Found);
  return true;
}

} // namespace camphorpin
