#ifndef CAMPHORPIN_SRC_CLAIMS_CLAIMACTIONS_H
#define CAMPHORPIN_SRC_CLAIMS_CLAIMACTIONS_H

#include "camphorpin/Core.h"
#include "camphorpin/src/Claims/ClaimMessages.h"

#include <cstdint>

namespace camphorpin {

/// \brief Identifies one send of a request within a node.
using SendId = std::uint64_t;

/// \brief Identifies a stored answer within a node.
using AnswerId = std::uint64_t;

/// \brief What to do with a send.
enum class ClaimOutcome : std::uint8_t {
  /// Run the request now, then call finish(), fail() or release().
  Run,
  /// Another send of this key is waiting or running; coalesce with it.
  Join,
  /// Send the stored answer.
  Answer,
  /// Refuse the send with the given verdict and reason.
  Refuse,
};

/// \class ClaimDecision
/// \brief The decision about one send.
struct ClaimDecision {
  ClaimOutcome Outcome = ClaimOutcome::Refuse;
  camphorpin::Verdict Verdict = camphorpin::Verdict::MayHaveRun;
  RefusalReason Reason = RefusalReason::None;
  /// Set for ClaimOutcome::Answer.
  AnswerId Answer = 0;
  /// The newest epoch known to this node. A sender with an older home set has
  /// to read the log.
  camphorpin::Epoch Epoch = 0;
};

/// \class ClaimSend
/// \brief One send of a keyed, non-idempotent request.
struct ClaimSend {
  SendId Id = 0;
  RequestKey Key;
  /// See RequestContext::FirstSend.
  bool FirstSend = false;
  /// The epoch of the home set from which the sender selected this node.
  camphorpin::Epoch SenderEpoch = 0;
  /// Time on the monotonic clock of this node.
  Instant Deadline;
};

/// \class ClaimActions
/// \brief Outgoing messages and notifications of the claim protocol;
/// implemented by the node.
class ClaimActions {
public:
  virtual ~ClaimActions() = default;

  /// Sends \p Message to this incarnation only. Delivery is not guaranteed.
  virtual void sendClaim(const ProcessId &To, const ClaimMessage &Message) = 0;

  /// Reports the decision about a send. Called exactly once per send, possibly
  /// from within ClaimHome::onRequest().
  virtual void reportDecision(SendId Id, const ClaimDecision &Decision) = 0;

  /// Releases a stored answer that is no longer needed.
  virtual void dropAnswer(AnswerId Id) = 0;
};

/// \class ProcessExitDetector
/// \brief Detects processes that have certainly ended, without false positives.
class ProcessExitDetector {
public:
  virtual ~ProcessExitDetector() = default;

  /// \returns true only if \p Process has certainly ended: a higher incarnation
  /// was observed at its address, or it announced its exit.
  virtual bool hasEnded(const ProcessId &Process) const = 0;
};

} // namespace camphorpin

#endif
