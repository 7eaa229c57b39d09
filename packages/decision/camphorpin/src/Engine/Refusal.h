#ifndef CAMPHORPIN_SRC_ENGINE_REFUSAL_H
#define CAMPHORPIN_SRC_ENGINE_REFUSAL_H

#include "camphorpin/src/Engine/EngineMessages.h"

namespace camphorpin::detail {

/// \brief Time after which a refused caller should retry.
inline constexpr Duration RetryAfterRefusal = Duration::seconds(1);

/// \returns the refusal of a request that this node has not sent to another
/// node. Only the home of a key knows whether an earlier send of it ran, so for
/// a non-idempotent operation the verdict is not-run only for a first send.
inline Answer refusal(const RequestContext &Context, RefusalReason Reason) {
  const bool KnownNotRun = Context.Idempotent || Context.FirstSend;
  return {.Verdict = KnownNotRun ? Verdict::NotRun : Verdict::MayHaveRun,
          .Reason = Reason,
          .RetryAfter = RetryAfterRefusal};
}

/// \returns the refusal of a request that did not reach the engine.
inline Answer refusal(const RequestInfo &Info, RefusalReason Reason) {
  const bool KnownNotRun = !Info.Key || Info.FirstSend;
  return {.Verdict = KnownNotRun ? Verdict::NotRun : Verdict::MayHaveRun,
          .Reason = Reason};
}

/// \returns the refusal of an invalid request, which cannot have run.
inline Answer badRequest(RefusalReason Reason) {
  return {.Verdict = Verdict::NotRun, .Reason = Reason};
}

} // namespace camphorpin::detail

#endif
