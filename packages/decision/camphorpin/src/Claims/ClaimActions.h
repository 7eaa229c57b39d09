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
  /// Run it now, then call finish(), fail() or release().
  Run,
  /// Another send of this key waits or runs; answer this one like that one.
  Join,
  /// Send the stored answer.
  Answer,
  /// Refuse it with the verdict and the reason.
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
  /// The newest epoch that this node knows, so that a sender with an older
  /// home set learns that it has to read the log.
  camphorpin::Epoch Epoch = 0;
};

/// \class ClaimSend
/// \brief One send of a keyed, non-idempotent request.
struct ClaimSend {
  SendId Id = 0;
  RequestKey Key;
  /// See RequestContext::FirstSend.
  bool FirstSend = false;
  /// The epoch of the home set with which the sender chose this node.
  camphorpin::Epoch SenderEpoch = 0;
  /// On the monotonic clock of this node.
  Instant Deadline;
};

/// \class ClaimActions
/// \brief What the claims of a node do to the outside.
class ClaimActions {
public:
  virtual ~ClaimActions() = default;

  /// Sends \p Message to exactly this incarnation; it may get lost.
  virtual void sendClaim(const ProcessId &To, const ClaimMessage &Message) = 0;

  /// Called once for each send, possibly within onSend().
  virtual void decided(SendId Id, const ClaimDecision &Decision) = 0;

  /// The stored answer is not needed any more.
  virtual void dropAnswer(AnswerId Id) = 0;
};

/// \class ProcessExitDetector
/// \brief What the node knows for certain about processes.
class ProcessExitDetector {
public:
  virtual ~ProcessExitDetector() = default;

  /// \returns true only if \p Process has provably ended: a higher incarnation
  /// was heard at its address, or it announced its exit.
  virtual bool hasEnded(const ProcessId &Process) const = 0;
};

} // namespace camphorpin

#endif
