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
/// \brief A request that asks for a slot of the local backend server.
struct SlotRequest {
  std::uint64_t Id = 0;
  std::string Route;
  std::uint8_t Rank = 0;
  /// A run that has begun waits for it.
  bool Nested = false;
  Duration Objective;
  /// Time since the request entered the system.
  Duration Age;
  /// After this instant nobody waits for the answer.
  Instant Deadline;
};

/// \brief What becomes of a request at the gate.
enum class AdmissionChoice : std::uint8_t { Start, Queue, Refuse };

/// \brief What the duration of a run tells about the backend server.
enum class DurationMeaning : std::uint8_t {
  /// Nothing, for example because the run was cancelled.
  Nothing,
  /// How long runs take, with their calls to other services.
  ServiceTime,
  /// Besides, how the number of runs slows the backend server: they make no
  /// calls.
  LocalWork,
};

/// \class QueueDecision
/// \brief The choice for one request and the inputs that decided it.
struct QueueDecision {
  AdmissionChoice Choice = AdmissionChoice::Start;
  Duration EstimatedWait;
  /// When a refused request may come back.
  Duration RetryAfter;
};

/// \class SlotQueue
/// \brief Decides which requests run on the local backend server, and when.
///
/// The node beside a backend server is the only one that reaches it, so the
/// queue knows exactly what runs. It never starts more requests than there are
/// slots, or than the backend server serves best (SlotLimit), starts the most
/// urgent rank first, and refuses a request at once when it could only start
/// after the part of its latency objective that may be spent on waiting.
///
/// Bounds: MaxQueued waiting requests.
class SlotQueue {
public:
  static constexpr std::size_t MaxQueued = 2000;

  /// \param Slots the requests that the backend server runs at the same time.
  void setSlots(std::uint32_t Slots) { Limit.setSlots(Slots); }

  /// Allows all slots again, until it is known how many are best.
  void resetLimit() { Limit.reset(); }

  /// Asks for a slot. With AdmissionChoice::Start the request counts as
  /// running.
  QueueDecision offer(const SlotRequest &Request, Instant Now);

  /// A running request has ended.
  /// \param Meaning what its duration tells.
  void finish(std::uint64_t Id, Instant Now, DurationMeaning Meaning);

  /// \returns the next waiting request that may start; it counts as running.
  std::optional<SlotRequest> takeNext(Instant Now);

  /// \returns the waiting requests that have waited too long; they are removed.
  std::vector<SlotRequest> takeExpired(Instant Now);

  /// \returns all waiting requests; they are removed.
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
    /// Follows the present state of the backend server.
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

  Instant latestStart(const SlotRequest &Request, Instant Now) const;
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
