#ifndef CAMPHORPIN_SRC_ADMISSION_ADMISSIONREQUEST_H
#define CAMPHORPIN_SRC_ADMISSION_ADMISSIONREQUEST_H

#include "camphorpin/Core.h"

#include <cstdint>
#include <string_view>

namespace camphorpin {

/// \class AdmissionRequest
/// \brief Properties of a call that admission control depends on.
struct AdmissionRequest {
  /// Chosen by the node; unique among the calls that are queued or running.
  std::uint64_t Id = 0;
  camphorpin::Rank Rank;
  bool Idempotent = false;
  /// Time since the root request arrived at its ingress node.
  Duration Age;
  /// Time left until the deadline of the call.
  Duration Remaining;
  /// Accessed only during AdmissionController::offer().
  std::string_view Caller;
  /// Distinguishes operations, which differ in service time.
  std::uint64_t OperationHash = 0;

  /// \returns the request for the call with this context. The result refers to
  /// the caller name in \p Context.
  static AdmissionRequest from(std::uint64_t Id,
                               const RequestContext &Context) {
    return {.Id = Id,
            .Rank = Context.Rank,
            .Idempotent = Context.Idempotent,
            .Age = Context.Age,
            .Remaining = Context.Remaining,
            .Caller = Context.Caller.view(),
            .OperationHash = stableHash(Context.Operation.view())};
  }
};

/// \brief How a started call ended.
enum class AdmissionOutcome : std::uint8_t {
  /// The backend server answered with anything but a 5xx error.
  Completed,
  /// The backend server failed or answered an error, or the deadline passed.
  Failed,
  /// The backend server refused the call without running it.
  BackendShed,
  /// The call ended because it was cancelled.
  Cancelled,
};

} // namespace camphorpin

#endif
