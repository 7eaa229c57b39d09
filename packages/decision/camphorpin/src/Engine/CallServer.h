#ifndef CAMPHORPIN_SRC_ENGINE_CALLSERVER_H
#define CAMPHORPIN_SRC_ENGINE_CALLSERVER_H

#include "camphorpin/src/Engine/Actions.h"
#include "camphorpin/src/Engine/AnswerGate.h"
#include "camphorpin/src/Engine/DeadlineQueue.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace camphorpin::detail {

/// \class NestedCall
/// \brief What a call inherits from the running request that makes it.
struct NestedCall {
  RequestContext Parent;
  RequestKey Key;
  /// No earlier send of this key can have reached another node.
  bool FirstSend = false;
};

/// \class CallServer
/// \brief The calls that other nodes sent to the local backend server.
class CallServer {
public:
  CallServer(Actions &Out, AnswerGate &Answers, ServiceName Service)
      : Out(Out), Answers(Answers), Service(std::move(Service)) {}

  /// Takes a call. It is answered now or later, exactly once.
  void accept(RequestId Id, const RequestContext &Context, Instant Now);

  /// The run has ended. An unknown or repeated id is ignored.
  void finished(RequestId Id, const BackendResult &Result, Instant Now);

  /// Nobody waits for the answer any longer.
  void cancel(RequestId Id);

  /// Answers the calls whose deadline has passed.
  void tick(Instant Now);

  /// \returns what a call made by the running request \p Parent inherits, or
  /// nothing if that request does not run.
  std::optional<NestedCall> nest(RequestId Parent, const std::string &Target,
                                 const std::string &Step, Instant Now);

  Instant nextDeadline() const { return Deadlines.next(); }
  std::size_t inProgress() const { return Calls.size(); }

private:
  /// The largest number of different calls of one run whose order is kept.
  static constexpr std::size_t MaxChildren = 1024;

  struct Call {
    RequestContext Context;
    Instant Arrived;
    Instant Deadline;
    /// Calls made so far, by target.
    std::map<std::string, std::uint32_t> Ordinals;
    std::unordered_set<RequestKey> Children;
  };

  Actions &Out;
  AnswerGate &Answers;
  ServiceName Service;
  std::unordered_map<RequestId, Call> Calls;
  DeadlineQueue Deadlines;
};

} // namespace camphorpin::detail

#endif
