#include "camphorpin/src/Gateway/GateQueue.h"

#include <algorithm>

namespace camphorpin {

namespace {

/// Weight of the latest service time in the smoothed one.
constexpr double SmoothingWeight = 0.1;
/// Part of the latency objective that a request may spend waiting for a slot.
/// The callers' own retry needs the rest.
constexpr double WaitPart = 0.3;
/// Shortest advice to come back, so that a refused caller doesn't return to the
/// queue that has just refused it.
constexpr Duration MinRetryAfter = Duration::millis(100);

void smooth(double &Value, double Sample) {
  Value = Value == 0 ? Sample : Value + SmoothingWeight * (Sample - Value);
}

} // namespace

double GateQueue::expectedMillis(const std::string &Route) const {
  const auto Found = RouteMillis.find(Route);
  return Found == RouteMillis.end() ? MeanMillis : Found->second;
}

Instant GateQueue::latestStart(const GateTicket &Ticket, Instant Now) const {
  const Instant ByObjective =
      Now + std::max(Duration(), Ticket.Objective * WaitPart - Ticket.Age);
  const Instant ByDeadline =
      Ticket.Deadline - Duration::fromMillis(expectedMillis(Ticket.Route));
  return std::min(ByObjective, ByDeadline);
}

Duration GateQueue::estimatedWait(std::uint8_t Rank) const {
  if (Running.size() < Limit && Waiting.empty())
    return Duration();
  std::size_t Ahead = 1;
  for (const Entry &Item : Waiting) {
    if (Item.Ticket.Rank > Rank)
      break;
    ++Ahead;
  }
  const double PerSlot = MeanMillis / std::max<std::uint32_t>(1, Limit);
  return Duration::fromMillis(PerSlot * static_cast<double>(Ahead));
}

GateDecision GateQueue::offer(const GateTicket &Ticket, Instant Now) {
  GateDecision Result;
  if (Running.size() < Limit && Waiting.empty()) {
    Running[Ticket.Id] = Run{Now, Ticket.Route};
    return Result;
  }
  Result.EstimatedWait = estimatedWait(Ticket.Rank);
  const Instant Latest = latestStart(Ticket, Now);
  if (Now + Result.EstimatedWait > Latest || Waiting.size() >= MaxQueued) {
    Result.Choice = GateChoice::Refuse;
    Result.RetryAfter = std::max(MinRetryAfter, Result.EstimatedWait);
    return Result;
  }
  Result.Choice = GateChoice::Queue;
  const auto Position = Waiting.insert({Ticket, Now, Latest, NextOrder++});
  Index[Ticket.Id] = Position;
  return Result;
}

void GateQueue::finish(std::uint64_t Id, Instant Now, bool Completed) {
  const auto Found = Running.find(Id);
  if (Found == Running.end())
    return;
  if (Completed) {
    const double Sample = (Now - Found->second.Started).toMillis();
    smooth(MeanMillis, Sample);
    smooth(RouteMillis[Found->second.Route], Sample);
  }
  Running.erase(Found);
}

std::optional<GateTicket> GateQueue::takeNext(Instant Now) {
  if (Running.size() >= Limit || Waiting.empty())
    return std::nullopt;
  GateTicket Result = Waiting.begin()->Ticket;
  Index.erase(Result.Id);
  Waiting.erase(Waiting.begin());
  Running[Result.Id] = Run{Now, Result.Route};
  return Result;
}

std::vector<GateTicket> GateQueue::takeExpired(Instant Now) {
  std::vector<GateTicket> Result;
  for (auto Item = Waiting.begin(); Item != Waiting.end();) {
    if (Item->LatestStart >= Now) {
      ++Item;
      continue;
    }
    Result.push_back(Item->Ticket);
    Index.erase(Item->Ticket.Id);
    Item = Waiting.erase(Item);
  }
  return Result;
}

std::vector<GateTicket> GateQueue::takeAll() {
  std::vector<GateTicket> Result;
  for (const Entry &Item : Waiting)
    Result.push_back(Item.Ticket);
  Waiting.clear();
  Index.clear();
  return Result;
}

bool GateQueue::remove(std::uint64_t Id) {
  const auto Found = Index.find(Id);
  if (Found == Index.end())
    return false;
  Waiting.erase(Found->second);
  Index.erase(Found);
  return true;
}

} // namespace camphorpin
