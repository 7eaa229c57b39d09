#ifndef CAMPHORPIN_SRC_ENGINE_ANSWERTRACKER_H
#define CAMPHORPIN_SRC_ENGINE_ANSWERTRACKER_H

#include "camphorpin/src/Engine/Actions.h"

#include <algorithm>
#include <cstddef>
#include <unordered_map>

namespace camphorpin::detail {

/// \class AnswerTracker
/// \brief Tracks the requests without an answer, so that each is answered
/// exactly once, and adds the fields that every answer of this node carries.
class AnswerTracker {
public:
  explicit AnswerTracker(Actions &Out) : Out(Out) {}

  /// Adds a new request.
  /// \returns false if the id is in use.
  bool open(RequestId Id) { return OpenRequests.emplace(Id, Unranked).second; }

  /// Sets the rank of a request for metrics, once it is known.
  void setRank(RequestId Id, Rank Value) {
    const auto Found = OpenRequests.find(Id);
    if (Found != OpenRequests.end())
      Found->second = Value;
  }

  /// Marks all further answers as coming from a draining or leaving node.
  void setLeaving() { Leaving = true; }

  /// Sets the least urgent rank that this node accepts.
  void setLowestAccepted(Rank Value) { LowestAccepted = Value; }

  /// Answers a request. Does nothing if it is not open.
  void answer(RequestId Id, Answer Value) {
    const auto Found = OpenRequests.find(Id);
    if (Found == OpenRequests.end())
      return;
    Value.Rank = Found->second;
    Value.Leaving = Leaving;
    // Reports the more urgent of two ranks: that of this node and that of
    // the nodes that it called for the request. Lower values are more urgent.
    Value.LowestAccepted = std::min(Value.LowestAccepted, LowestAccepted);
    OpenRequests.erase(Found);
    Out.answer(Id, Value);
  }

  bool isOpen(RequestId Id) const { return OpenRequests.count(Id) != 0; }

  /// \returns the number of requests that are not answered yet.
  std::size_t size() const { return OpenRequests.size(); }

private:
  static constexpr Rank Unranked = Rank(MaxRanks - 1);

  Actions &Out;
  std::unordered_map<RequestId, Rank> OpenRequests;
  bool Leaving = false;
  /// Initially the least urgent rank, so that all ranks are accepted.
  Rank LowestAccepted = Unranked;
};

} // namespace camphorpin::detail

#endif
