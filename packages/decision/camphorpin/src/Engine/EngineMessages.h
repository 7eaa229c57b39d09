#ifndef CAMPHORPIN_SRC_ENGINE_ENGINEMESSAGES_H
#define CAMPHORPIN_SRC_ENGINE_ENGINEMESSAGES_H

#include "camphorpin/Core.h"

#include <cstdint>
#include <optional>
#include <string>

namespace camphorpin {

/// \brief Identifies one request that entered this process. Never reused.
enum class RequestId : std::uint64_t {};

/// \brief Identifies one call to another node. Never reused, so that a late
/// answer reaches its own request or is dropped.
enum class CallId : std::uint64_t {};

/// \class RequestInfo
/// \brief What an HTTP request states, without its body.
struct RequestInfo {
  ServiceName Service;
  OperationName Operation;
  CallerName Caller;
  /// The time that the caller gives, if it states one.
  std::optional<Duration> Deadline;
  std::optional<RequestKey> Key;
  /// The caller sends this key for the first time.
  bool FirstAttempt = false;
  /// The running request that this call is made for.
  std::optional<RequestId> Parent;
  /// Distinguishes several calls of the same operation by one parent.
  std::string Step;
  std::uint64_t BodyHash = 0;
};

/// \class BackendResult
/// \brief How a run on the local backend server ended.
struct BackendResult {
  camphorpin::Verdict Verdict = Verdict::MayHaveRun;
  RefusalReason Reason = RefusalReason::None;
  /// Size of the answer in bytes, for the bound on stored answers.
  std::uint64_t AnswerBytes = 0;
  /// The connection was lost before the answer.
  bool ConnectionLost = false;
  /// The run lost its connection and the backend server accepts no new one.
  bool BackendDown = false;
};

/// \class CallResult
/// \brief How a call to another node ended.
struct CallResult {
  camphorpin::Verdict Verdict = Verdict::MayHaveRun;
  RefusalReason Reason = RefusalReason::None;
  /// Extra attempts that were lent and not spent.
  std::uint8_t UnusedAttempts = 0;
  /// The lowest rank that the other node accepts.
  Rank LowestAccepted = Rank(MaxRanks - 1);
  /// The other node is leaving.
  bool Leaving = false;
  /// A call that was made for this one was refused for lack of capacity.
  bool DownstreamRefused = false;
};

/// \brief Where the body of an answer comes from.
enum class BodySource : std::uint8_t {
  /// The node itself answers; there is no body.
  None,
  /// The run of this request on the local backend server.
  Backend,
  /// The call to another node.
  Call,
  /// An answer that was kept by Actions::keepAnswer().
  Stored,
};

/// \class Answer
/// \brief The one answer to a request.
struct Answer {
  camphorpin::Verdict Verdict = Verdict::NotRun;
  RefusalReason Reason = RefusalReason::None;
  BodySource Source = BodySource::None;
  /// Number of the request or call that holds the body.
  std::uint64_t SourceId = 0;
  std::uint8_t UnusedAttempts = 0;
  camphorpin::Rank LowestAccepted = camphorpin::Rank(MaxRanks - 1);
  bool Leaving = false;
  /// A call that was made for this one was refused for lack of capacity.
  bool DownstreamRefused = false;
  /// The rank of the request, for metrics.
  camphorpin::Rank Rank = camphorpin::Rank(MaxRanks - 1);
  /// Time after which a caller should try again, for refusals.
  Duration RetryAfter;
};

} // namespace camphorpin

#endif
