#ifndef CAMPHORPIN_SRC_ADMISSION_RANKQUEUE_H
#define CAMPHORPIN_SRC_ADMISSION_RANKQUEUE_H

#include "camphorpin/src/Admission/CallRecord.h"
#include "camphorpin/src/Admission/CallerTable.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

namespace camphorpin::detail {

/// \class RankQueue
/// \brief The waiting calls of one rank: ordered by the age of the root
/// request, among the callers that have not exceeded their share.
///
/// Weighted fair queueing in virtual time: the rank's virtual time advances by
/// 1/(sum of waiting callers' weights) per start, a caller's by 1/weight per
/// start of its own. A caller is eligible while its time is not ahead of the
/// rank's by more than a small burst. With one caller this is the order by age.
/// All operations are logarithmic in the number of calls.
class RankQueue {
public:
  RankQueue() : Callers(CallerTable::Size) {}

  /// \param Weight replaces the weight of the caller, also for its calls that
  /// are queued already.
  void insert(const QueuedCall &Call, double Weight);

  /// \pre the call is in the queue.
  void erase(const QueuedCall &Call);

  /// Removes the call that is served next.
  /// \pre not empty().
  QueuedCall popNext();

  /// \returns the call to evict: the youngest call of the caller with the most
  /// waiting calls relative to its weight.
  /// \pre not empty().
  QueuedCall evictionCandidate() const;

  /// \returns about how many calls of this rank start before this one, which
  /// is not in the queue yet.
  double estimatedCallsAhead(const QueuedCall &Call, double Weight) const;

  std::size_t size() const { return Count; }
  bool empty() const { return Count == 0; }

private:
  struct CallerQueue {
    std::set<CreationKey> Waiting;
    double Weight = 1;
    /// Virtual finish time: the virtual time up to which the caller has been
    /// served.
    double VirtualFinish = 0;
    bool Eligible = false;
  };

  /// Order for eviction: most calls relative to the weight, then the youngest.
  struct EvictionKey {
    double Load = 0;
    CreationKey Youngest;
    std::uint16_t CallerNumber = 0;
    auto operator<=>(const EvictionKey &) const = default;
  };

  struct HeadKey {
    CreationKey Oldest;
    std::uint16_t CallerNumber = 0;
    auto operator<=>(const HeadKey &) const = default;
  };

  struct FinishKey {
    double VirtualFinish = 0;
    std::uint16_t CallerNumber = 0;
    auto operator<=>(const FinishKey &) const = default;
  };

  /// Removes the caller from, or adds it to, the indexes below.
  void removeFromIndexes(std::uint16_t CallerNumber);
  void addToIndexes(std::uint16_t CallerNumber);
  void updateEligible();

  std::vector<CallerQueue> Callers;
  std::set<HeadKey> Eligible;
  std::set<FinishKey> Ineligible;
  std::set<EvictionKey> EvictionOrder;
  double VirtualTime = 0;
  double WaitingWeight = 0;
  std::size_t Count = 0;
};

} // namespace camphorpin::detail

#endif
