#ifndef CAMPHORPIN_SRC_ADMISSION_ADMISSIONCONTROLLER_H
#define CAMPHORPIN_SRC_ADMISSION_ADMISSIONCONTROLLER_H

#include "camphorpin/Core.h"
#include "camphorpin/Policy.h"
#include "camphorpin/src/Admission/AdmissionListener.h"
#include "camphorpin/src/Admission/AdmissionRequest.h"
#include "camphorpin/src/Admission/ConcurrencyLimit.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace camphorpin {

namespace detail {
class AdmissionState;
} // namespace detail

/// \class AdmissionController
/// \brief Decides which calls run on one backend server, and when.
///
/// Calls run up to an adaptive concurrency limit. The others wait in a bounded
/// queue, ordered by rank and then by the creation time of the root request
/// (the request that entered at the ingress node), or are refused before they
/// run. See docs/admission.md.
///
/// All times that are passed in come from one monotonic clock.
class AdmissionController {
public:
  /// \param Listener must outlive the controller.
  /// \pre \p Mesh has 1 to MaxRanks ranks; \p Service has at least one slot.
  AdmissionController(const MeshPolicy &Mesh, const ServicePolicy &Service,
                      AdmissionListener &Listener, Instant Now);

  /// \overload
  /// \param Limit replaces the default algorithm, AimdLimit.
  AdmissionController(const MeshPolicy &Mesh, const ServicePolicy &Service,
                      AdmissionListener &Listener, Instant Now,
                      std::unique_ptr<ConcurrencyLimit> Limit);
  ~AdmissionController();
  AdmissionController(const AdmissionController &) = delete;
  AdmissionController &operator=(const AdmissionController &) = delete;

  /// Offers a call. The listener gets its start or refusal now or later.
  /// \pre no call with this id is queued or running.
  void offer(const AdmissionRequest &Request, Instant Now);

  /// A started call has ended and its slot is free. Unknown ids are ignored.
  /// \param DownstreamTime time during which the call waited for calls it made
  /// itself. It does not count as service time of the backend server.
  void onFinished(std::uint64_t Id, AdmissionOutcome Outcome, Instant Now,
                  Duration DownstreamTime = Duration());

  /// The caller no longer waits for the call. A queued call is refused with
  /// RefusalReason::Cancelled; for a running call the listener gets
  /// cancelRunning(). Unknown ids are ignored.
  void onCancelled(std::uint64_t Id, Instant Now);

  /// Refuses queued calls that can no longer meet their deadline, starts calls
  /// that now fit and updates the shedding level. To be called every 10 to 100
  /// ms.
  void tick(Instant Now);

  /// Adopts a new policy. Running calls are not interrupted; queued calls
  /// beyond a smaller queue limit are refused.
  void applyMeshPolicy(const MeshPolicy &Mesh, Instant Now);

  /// \overload
  void applyServicePolicy(const ServicePolicy &Service, Instant Now);

  /// The backend server was replaced or restarted: the concurrency limit starts
  /// over from its initial value. onFinished() must still be called for the
  /// calls that ran there.
  void onBackendRestarted(Instant Now);

  /// Refuses new calls from now on; queued and running calls finish.
  void drain();

  /// \returns true if no call is queued or running.
  bool idle() const;

  /// \returns the least urgent rank that is accepted now. Every answer carries
  /// it to the calling node (see UpstreamShedder).
  Rank sheddingLevel() const;

  /// \returns the number of calls that may run at the same time now.
  std::uint32_t limit() const;

  /// \returns the number of calls that run.
  std::size_t running() const;

  /// \returns the number of calls of one rank that run.
  std::size_t running(Rank CallRank) const;

  /// \returns the number of calls that wait.
  std::size_t queued() const;

private:
  std::unique_ptr<detail::AdmissionState> State;
};

} // namespace camphorpin

#endif
