#ifndef CAMPHORPIN_SRC_ADMISSION_ADMISSIONSTATE_H
#define CAMPHORPIN_SRC_ADMISSION_ADMISSIONSTATE_H

#include "camphorpin/Policy.h"
#include "camphorpin/src/Admission/AdmissionListener.h"
#include "camphorpin/src/Admission/AdmissionRequest.h"
#include "camphorpin/src/Admission/CallRecord.h"
#include "camphorpin/src/Admission/CallerTable.h"
#include "camphorpin/src/Admission/ConcurrencyLimit.h"
#include "camphorpin/src/Admission/RankQueue.h"
#include "camphorpin/src/Admission/RankShares.h"
#include "camphorpin/src/Admission/ServiceTimeEstimator.h"
#include "camphorpin/src/Admission/SheddingLevel.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace camphorpin::detail {

/// \class AdmissionState
/// \brief Implementation of AdmissionController, which documents the events.
///
/// Memory is bounded by the slots, the queue limit, CallerTable::Size and
/// constants. Takes O(log n) in the queue length for each event and for each
/// call that the event starts or refuses.
class AdmissionState {
public:
  AdmissionState(const MeshPolicy &Mesh, const ServicePolicy &Service,
                 AdmissionListener &Listener,
                 std::unique_ptr<ConcurrencyLimit> Limit);

  void offer(const AdmissionRequest &Request, Instant Now);
  void onFinished(std::uint64_t Id, AdmissionOutcome Outcome, Instant Now,
                  Duration DownstreamTime);
  void onCancelled(std::uint64_t Id, Instant Now);
  void tick(Instant Now);
  void setMeshPolicy(const MeshPolicy &Mesh);
  void setServicePolicy(const ServicePolicy &Service);
  void onBackendRestarted();
  void drain() { Draining = true; }

  Rank sheddingLevel() const { return Level.value(); }
  std::uint32_t limit() const { return Limit->value(); }
  std::size_t running() const { return RunningTotal; }
  std::size_t running(Rank CallRank) const {
    return RunningByRank[CallRank.index()];
  }
  std::size_t queued() const { return LatestStarts.size(); }

private:
  using CallMap = std::unordered_map<std::uint64_t, CallRecord>;

  struct StartKey {
    Instant LatestStart;
    std::uint64_t Id = 0;
    auto operator<=>(const StartKey &) const = default;
  };

  struct NextRank {
    std::size_t Index = 0;
    bool FromFloor = false;
  };

  CallRecord makeRecord(const AdmissionRequest &Request, Instant Now);
  bool canStartAtOnce(std::size_t Rank) const;
  Duration expectedWait(const CallRecord &Call) const;
  void enqueue(const CallRecord &Call);
  void dequeue(const CallRecord &Call);
  void start(CallRecord &Call, Instant Now);
  void recordOutcome(const CallRecord &Call, AdmissionOutcome Outcome,
                     Instant Now, Duration DownstreamTime);
  /// Refuses a queued call.
  void refuseQueued(std::uint64_t Id, RefusalReason Reason);
  void refuseExpired(Instant Now);
  void evictExcess();
  /// \returns the least urgent rank that has more queued calls than its floor
  /// reserves; the least urgent rank with queued calls if there is none.
  std::size_t evictionRank() const;
  /// Refuses expired calls, then starts queued calls while the limit allows.
  void dispatch(Instant Now);
  /// \returns the rank to start a call from: the most urgent one below its
  /// floor, otherwise the most urgent one below its cap.
  std::optional<NextRank> nextRank(Instant Now);
  /// Cancels the youngest cancellable call of the least urgent rank that runs
  /// more calls than its floor. Cancels at most one call per offer, and none
  /// while the pending cancellations suffice for the queued urgent calls.
  void preemptForUrgentCalls();
  void cancelRunningCall(CallRecord &Call);

  AdmissionListener &Listener;
  RankShares Shares;
  SheddingLevel Level;
  std::unique_ptr<ConcurrencyLimit> Limit;
  ServiceTimeEstimator ServiceTimes;
  CallerTable Callers;
  std::uint32_t QueueLimit = 0;
  bool CancelLowerRanks = false;
  bool Draining = false;

  CallMap Calls;
  std::vector<RankQueue> Queues;
  std::set<StartKey> LatestStarts;
  std::size_t RunningTotal = 0;
  std::array<std::size_t, MaxRanks> RunningByRank{};
  /// Running calls whose cancellation was sent.
  std::size_t CancelledTotal = 0;
  std::array<std::size_t, MaxRanks> CancelledByRank{};
  /// Idempotent running calls that were not cancelled.
  std::array<std::set<CreationKey>, MaxRanks> Cancellable;
};

} // namespace camphorpin::detail

#endif
