#ifndef CAMPHORPIN_SRC_ENGINE_ENGINEMESSAGES_H
#define CAMPHORPIN_SRC_ENGINE_ENGINEMESSAGES_H

#include "camphorpin/Core.h"

#include <cstdint>
#include <optional>
#include <string>

namespace camphorpin {

/// \brief Identifies a request that entered this process. Never reused.
enum class RequestId : std::uint64_t {};

/// \brief Identifies a call to another node. Never reused, so that a late
/// answer is matched to its own request or dropped.
enum class CallId : std::uint64_t {};

/// \class RequestInfo
/// \brief The contents of an HTTP request, without its body.
struct RequestInfo {
  ServiceName Service;
  OperationName Operation;
  CallerName Caller;
  /// The time limit stated by the caller, if any.
  std::optional<Duration> Deadline;
  std::optional<RequestKey> Key;
  /// The caller states that it sends this key for the first time.
  bool FirstSend = false;
  /// The running request that makes this call, if any.
  std::optional<RequestId> Parent;
  /// Distinguishes calls of the same operation by the same parent.
  std::string Step;
  std::uint64_t BodyHash = 0;
};

/// \class BackendResult
/// \brief The outcome of a run on the local backend server.
struct BackendResult {
  camphorpin::Verdict Verdict = Verdict::MayHaveRun;
  RefusalReason Reason = RefusalReason::None;
  /// Size of the answer in bytes, counted towards the bound on stored answers.
  std::uint64_t AnswerBytes = 0;
  /// The connection was lost before the answer arrived.
  bool ConnectionLost = false;
  /// The connection was lost and the backend server accepts no new one.
  bool BackendDown = false;
};

/// \class CallResult
/// \brief The outcome of a call to another node.
struct CallResult {
  camphorpin::Verdict Verdict = Verdict::MayHaveRun;
  RefusalReason Reason = RefusalReason::None;
  /// Extra attempts that were passed on with the call and not used.
  std::uint8_t UnusedAttempts = 0;
  /// The least urgent rank that the other node accepts.
  Rank LowestAccepted = Rank(MaxRanks - 1);
  /// The other node is draining or leaving.
  bool Leaving = false;
  /// A nested call of the request was refused for lack of capacity.
  bool DownstreamRefused = false;
};

/// \brief Where the body of an answer comes from.
enum class BodySource : std::uint8_t {
  /// The node itself answers, without a body.
  None,
  /// The run of this request on the local backend server.
  Backend,
  /// The call to another node.
  Call,
  /// An answer that was kept by Actions::storeAnswer().
  Stored,
};

/// \class Answer
/// \brief The answer to a request.
struct Answer {
  camphorpin::Verdict Verdict = Verdict::NotRun;
  RefusalReason Reason = RefusalReason::None;
  BodySource Source = BodySource::None;
  /// Id of the request or call that supplies the body.
  std::uint64_t SourceId = 0;
  std::uint8_t UnusedAttempts = 0;
  camphorpin::Rank LowestAccepted = camphorpin::Rank(MaxRanks - 1);
  bool Leaving = false;
  /// A nested call of the request was refused for lack of capacity.
  bool DownstreamRefused = false;
  /// The rank of the request, for metrics.
  camphorpin::Rank Rank = camphorpin::Rank(MaxRanks - 1);
  /// Time after which a refused caller should retry.
  Duration RetryAfter;
};

} // namespace camphorpin

#endif
