#ifndef CAMPHORPIN_SRC_ENGINE_CALLORIGINATOR_H
#define CAMPHORPIN_SRC_ENGINE_CALLORIGINATOR_H

#include "camphorpin/src/Engine/Actions.h"
#include "camphorpin/src/Engine/AnswerGate.h"
#include "camphorpin/src/Engine/DeadlineQueue.h"
#include "camphorpin/src/Engine/MemberDirectory.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace camphorpin::detail {

/// \class CallOriginator
/// \brief The requests that entered here and were sent on to other nodes.
class CallOriginator {
public:
  CallOriginator(Actions &Out, AnswerGate &Answers, MemberDirectory &Peers)
      : Out(Out), Answers(Answers), Peers(Peers) {}

  /// Sends a request to a node beside a backend server of its service. It is
  /// answered now or later, exactly once.
  void start(RequestId Id, const RequestContext &Context, Instant Now);

  /// A call has ended. An unknown or repeated id is ignored.
  void callDone(CallId Call, const CallResult &Result, Instant Now);

  /// Nobody waits for the answer any longer.
  void cancel(RequestId Id, Instant Now);

  /// Answers the requests whose deadline has passed.
  void tick(Instant Now);

  Instant nextDeadline() const { return Deadlines.next(); }
  std::size_t inProgress() const { return Requests.size(); }

private:
  struct Request {
    RequestContext Context;
    Instant Deadline;
    CallId Call{};
    ProcessId Target;
    Instant SentAt;
  };

  using RequestIterator = std::unordered_map<RequestId, Request>::iterator;

  void finish(RequestIterator Entry, const Answer &Value);
  void giveUp(RequestId Id, RefusalReason Reason, Instant Now);

  Actions &Out;
  AnswerGate &Answers;
  MemberDirectory &Peers;
  std::unordered_map<RequestId, Request> Requests;
  std::unordered_map<CallId, RequestId> Calls;
  DeadlineQueue Deadlines;
  std::uint64_t LastCall = 0;
};

} // namespace camphorpin::detail

#endif
