#ifndef CAMPHORPIN_SRC_GATEWAY_PEERMESSAGES_H
#define CAMPHORPIN_SRC_GATEWAY_PEERMESSAGES_H

#include "camphorpin/Core.h"
#include "camphorpin/src/Gateway/BackendReport.h"
#include "camphorpin/src/Http/SharedBody.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace camphorpin {

/// \class BackendStatus
/// \brief Status of a backend server that the node beside it reports to
/// callers.
struct BackendStatus {
  /// The backend server accepts requests.
  bool Available = false;
  /// The node or its backend server is draining.
  bool Draining = false;
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
  std::uint32_t Limit = 0;
  /// Expected queueing time of a new request of the lowest rank.
  Duration Wait;
  /// Smoothed service time.
  Duration ServiceTime;
  /// Smoothed fraction of requests that the backend server refused, lost or
  /// failed.
  double FailureRate = 0;
  /// The backend server appears to call other services, judging by the number
  /// of requests that begin on its host.
  bool MakesNestedCalls = false;
};

/// \class PeerDigest
/// \brief Digest of the part of the sender's state that comes from the
/// platform's store.
///
/// A node follows another one if it polls that node for changes of this state
/// instead of reading the store.
struct PeerDigest {
  /// Version of the configuration; 0 if it has none.
  std::uint64_t Configuration = 0;
  /// Digest of its member directory (NodeDirectory::digest()); 0 if not given.
  std::uint64_t Members = 0;
  /// Latest era of the store of which the store has answered the sender; 0 if
  /// none.
  std::uint64_t StoreEra = 0;
};

/// \class PeerHello
/// \brief The first frame in both directions of a connection.
struct PeerHello {
  std::string Node;
  std::uint64_t Incarnation = 0;
  /// Larger in each later hello of one incarnation of the sender. Of the
  /// connections that it opens to a node, the one with the largest number
  /// replaces the others.
  std::uint64_t Number = 0;
  std::string Service;
  std::string Zone;
  std::string Address;
  PeerDigest Digest;
  BackendStatus Status;
};

/// \class PeerCall
/// \brief A request for the receiver's local backend server.
struct PeerCall {
  /// Unique among the calls of one incarnation of the sender. A call that is
  /// sent again on a new connection keeps its id and runs once.
  std::uint64_t Id = 0;
  /// Request line and headers, without the empty line.
  std::string Head;
  SharedBody Body;
  std::string RequestId;
  std::string Route;
  std::string Service;
  bool Idempotent = false;
  std::uint8_t Rank = 0;
  /// Remaining time until the deadline.
  Duration TimeLeft;
  Duration Objective;
  /// Time since the request entered the system.
  Duration Age;
  /// Equal for repeats of the same request, to detect requests that crash
  /// backend servers.
  std::uint64_t Fingerprint = 0;
  /// Crashes of backend servers with this request running, as known to the
  /// sender.
  std::uint8_t CrashCount = 0;
  /// A request that runs on the sender's backend server waits for this one.
  bool Nested = false;
};

/// \class PeerLargeCall
/// \brief A call whose body follows in parts.
///
/// A node never holds a large body more than once, nor in one piece. The
/// receiver reserves room for the whole body before it asks for the first part,
/// and refuses the call if there is none.
struct PeerLargeCall {
  /// Without its body.
  PeerCall Call;
  std::uint64_t BodyBytes = 0;
};

/// \class PeerBodyRequest
/// \brief Asks the sender of a PeerLargeCall for a range of the body.
struct PeerBodyRequest {
  /// PeerCall::Id.
  std::uint64_t Id = 0;
  std::uint64_t From = 0;
  /// The first byte that is not asked for yet.
  std::uint64_t UpTo = 0;
};

/// \class PeerBodyPart
/// \brief Some bytes of the body of a PeerLargeCall.
struct PeerBodyPart {
  /// PeerCall::Id.
  std::uint64_t Id = 0;
  std::uint64_t Offset = 0;
  std::string Bytes;
};

/// \brief Outcome of a call at the receiving node.
enum class CallOutcome : std::uint8_t {
  /// The backend server returned a complete response.
  Answered,
  /// The node refused the call; the request was not sent to the backend server.
  Refused,
  /// The backend server stated that it did not run the request.
  Shed,
  /// The request was sent, but no complete response was received. It may have
  /// run.
  Failed,
};

/// \class PeerAnswer
/// \brief The answer to a call.
struct PeerAnswer {
  std::uint64_t Id = 0;
  CallOutcome Outcome = CallOutcome::Failed;
  RefusalReason Reason = RefusalReason::None;
  std::uint16_t StatusCode = 0;
  Duration RetryAfter;
  std::string Head;
  std::string Body;
  /// The backend server to which the request was sent, for logs.
  std::string Backend;
  BackendStatus Status;
  /// Smoothed service time of the call's route on the backend server.
  Duration RouteTime;
  /// Version of the sender's configuration.
  std::uint64_t Configuration = 0;
  std::uint8_t CrashCount = 0;

  /// \returns whether the request may have run.
  Verdict verdict() const;
};

struct PeerCancel {
  std::uint64_t Id = 0;
};
struct PeerPing {
  std::uint64_t Number = 0;
};
struct PeerPong {
  std::uint64_t Number = 0;
};

/// \class PeerPoll
/// \brief Sent by a node that follows the receiver; answered immediately.
struct PeerPoll {
  PeerDigest Digest;
};

/// \class PeerPollAnswer
/// \brief Answer to a PeerPoll: the digest of the followed node.
struct PeerPollAnswer {
  PeerDigest Digest;
  /// The state is current: the store, or a node that the sender follows, is
  /// reachable.
  bool Current = false;
};

/// \class PeerUpdateRequest
/// \brief Requests the configuration and member records that differ.
struct PeerUpdateRequest {
  /// The state of the sender, as in PeerDigest.
  std::uint64_t Configuration = 0;
  /// 0 if members are not requested.
  std::uint64_t Members = 0;
  /// Digests of the parts of its member directory
  /// (NodeDirectory::bucketDigests()).
  std::vector<std::uint32_t> Parts;
};

/// \class MemberUpdate
/// \brief One record of the member directory.
struct MemberUpdate {
  std::string Node;
  std::string Record;
};

/// \class PeerUpdate
/// \brief A newer configuration and differing member records of a peer.
struct PeerUpdate {
  std::uint64_t Configuration = 0;
  /// Empty if the receiver's configuration is not older.
  std::string Document;
  /// The records of the parts in which the receiver's directory differs.
  std::vector<MemberUpdate> Members;
};

/// \class PeerAck
/// \brief Answers that the sender has received; the receiver may discard them.
struct PeerAck {
  std::vector<std::uint64_t> Ids;
};

/// \class CrashNotice
/// \brief A request that was running at the crash of a backend server.
struct CrashNotice {
  std::uint64_t Fingerprint = 0;
  /// Identifies the crash; 0 clears the suspicion.
  std::uint64_t Crash = 0;
  /// Time since the crash.
  Duration Age;
};

struct PeerCrashes {
  std::vector<CrashNotice> Notices;
};

/// \class DepartureNotice
/// \brief Departures that a node has acknowledged. Sent by that node to its
/// peers, and by these to a later process of the node.
struct DepartureNotice {
  std::string Node;
  std::vector<BackendDeparture> Departures;
};

/// A frame of the protocol between nodes.
using PeerFrame =
    std::variant<PeerHello, PeerCall, PeerAnswer, PeerCancel, PeerPing,
                 PeerPong, BackendStatus, PeerUpdateRequest, PeerUpdate,
                 PeerAck, PeerCrashes, PeerDigest, PeerPoll, PeerPollAnswer,
                 PeerLargeCall, PeerBodyRequest, PeerBodyPart, DepartureNotice>;

inline Verdict PeerAnswer::verdict() const {
  switch (Outcome) {
  case CallOutcome::Answered:
    return Verdict::Ran;
  case CallOutcome::Refused:
  case CallOutcome::Shed:
    return Verdict::NotRun;
  case CallOutcome::Failed:
    return Verdict::MayHaveRun;
  }
  return Verdict::MayHaveRun;
}

} // namespace camphorpin

#endif
