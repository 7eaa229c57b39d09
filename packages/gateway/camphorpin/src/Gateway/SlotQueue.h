#ifndef CAMPHORPIN_SRC_GATEWAY_SLOTQUEUE_H
#define CAMPHORPIN_SRC_GATEWAY_SLOTQUEUE_H

#include "camphorpin/Core.h"
#include "camphorpin/src/Gateway/SlotLimit.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorpin {

/// \class SlotRequest
/// \brief A request for a slot of the local backend server.
struct SlotRequest {
  std::uint64_t Id = 0;
  std::string Route;
  /// 0 is the most urgent.
  std::uint8_t Rank = 0;
  /// The request is a nested call; a running request waits for it.
  bool Nested = false;
  /// Latency objective of the route.
  Duration Objective;
  /// Time since the request entered the system.
  Duration Age;
  /// The answer is useless after this instant.
  Instant Deadline;
};

/// \brief The admission decision for a request.
enum class AdmissionChoice : std::uint8_t { Start, Queue, Refuse };

/// \brief What the duration of a run measures.
enum class DurationMeaning : std::uint8_t {
  /// Nothing, for example because the run was cancelled.
  Nothing,
  /// The service time, including calls to other services.
  ServiceTime,
  /// The service time of a run that makes no calls to other services. It also
  /// serves to measure how concurrency slows the server (SlotLimit).
  LocalWork,
};

/// \class QueueDecision
/// \brief The decision for one request and the values that it is based on.
struct QueueDecision {
  AdmissionChoice Choice = AdmissionChoice::Start;
  Duration EstimatedWait;
  /// Time after which a refused request may be retried.
  Duration RetryAfter;
};

/// \class SlotQueue
/// \brief Decides which requests run on the local backend server, and when.
///
/// All requests to the backend server pass through its node, so the queue knows
/// exactly which ones are running. It runs at most as many requests as
/// SlotLimit allows, which never exceeds the slots of the server, and starts
/// the most urgent rank first. It refuses a request immediately if the expected
/// wait exceeds the fraction of the latency objective that may be spent
/// waiting, or leaves too little time before the deadline.
///
/// Capacity: MaxQueued waiting requests.
class SlotQueue {
public:
  static constexpr std::size_t MaxQueued = 2000;

  /// \param Slots the requests that the backend server executes concurrently.
  void setSlots(std::uint32_t Slots) { Limit.setSlots(Slots); }

  /// Allows all slots again, until the best limit is measured anew.
  void resetLimit() { Limit.reset(); }

  /// Requests a slot. With AdmissionChoice::Start the request counts as
  /// running.
  QueueDecision offer(const SlotRequest &Request, Instant Now);

  /// A running request has ended.
  /// \param Meaning what its duration measures.
  void finish(std::uint64_t Id, Instant Now, DurationMeaning Meaning);

  /// \returns the next waiting request that may start; it counts as running.
  std::optional<SlotRequest> takeNext(Instant Now);

  /// Removes and returns the waiting requests whose wait has expired.
  std::vector<SlotRequest> takeExpired(Instant Now);

  /// Removes and returns all waiting requests.
  std::vector<SlotRequest> takeAll();

  /// Removes a waiting request.
  /// \returns false if it isn't waiting.
  bool remove(std::uint64_t Id);

  /// \returns the expected wait of a new request of \p Rank.
  Duration estimatedWait(std::uint8_t Rank) const;

  /// \returns the smoothed service time of the requests of \p Route.
  Duration serviceTime(const std::string &Route) const {
    return Duration::fromMillis(expectedMillis(Route));
  }

  /// \returns the smoothed service time of all requests.
  Duration serviceTime() const { return Duration::fromMillis(MeanMillis); }

  std::size_t running() const { return Running.size(); }
  std::size_t queued() const { return Waiting.size(); }
  std::uint32_t limit() const { return Limit.value(); }

private:
  struct Entry {
    SlotRequest Request;
    Instant Arrived;
    Instant LatestStart;
    std::uint64_t Order = 0;
  };
  struct Run {
    Instant Started;
    std::string Route;
    SlotLimit::WindowTag WindowTag;
  };
  /// Smoothed service times of a route, in milliseconds.
  struct RouteTime {
    /// Follows the current state of the backend server.
    double Recent = 0;
    /// Changes slowly, so that runs under different limits can be compared.
    double LongTerm = 0;
    std::uint64_t Runs = 0;
  };
  struct StartOrder {
    bool operator()(const Entry &A, const Entry &B) const {
      if (A.Request.Rank != B.Request.Rank)
        return A.Request.Rank < B.Request.Rank;
      return A.Order < B.Order;
    }
  };

  /// \returns the instant after which a waiting request expires.
  Instant latestStart(const SlotRequest &Request, Instant Now) const;
  /// \returns the smoothed service time of the route, or that of all routes if
  /// it is unknown.
  double expectedMillis(const std::string &Route) const;
  void begin(const SlotRequest &Request, Instant Now);
  void recordDuration(const Run &Ended, Instant Now, DurationMeaning Meaning);

  SlotLimit Limit;
  std::uint64_t NextOrder = 0;
  double MeanMillis = 0;
  std::map<std::string, RouteTime> RouteTimes;
  std::map<std::uint64_t, Run> Running;
  std::multiset<Entry, StartOrder> Waiting;
  std::map<std::uint64_t, std::multiset<Entry, StartOrder>::iterator> Index;
};

} // namespace camphorpin

#endif
