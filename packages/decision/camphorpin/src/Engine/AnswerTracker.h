#ifndef CAMPHORPIN_SRC_ENGINE_ANSWERTRACKER_H
#define CAMPHORPIN_SRC_ENGINE_ANSWERTRACKER_H

#include "camphorpin/src/Engine/Actions.h"

#include <algorithm>
#include <cstddef>
#include <unordered_map>

namespace camphorpin::detail {

/// \class AnswerTracker
/// \brief Lets exactly one answer through for each request, and puts on it what
/// every answer of this node carries.
class AnswerTracker {
public:
  explicit AnswerTracker(Actions &Out) : Out(Out) {}

  /// Takes a new request.
  /// \returns false if the id is in use.
  bool open(RequestId Id) { return OpenRequests.emplace(Id, Unranked).second; }

  /// Sets the rank of a request for metrics, once it is known.
  void setRank(RequestId Id, Rank Value) {
    const auto Found = OpenRequests.find(Id);
    if (Found != OpenRequests.end())
      Found->second = Value;
  }

  /// From now on all answers say that this node is leaving.
  void setLeaving() { Leaving = true; }

  /// Sets the least urgent rank that this node accepts.
  void setLowestAccepted(Rank Value) { LowestAccepted = Value; }

  /// Answers a request. A request that was answered before is left alone.
  void answer(RequestId Id, Answer Value) {
    const auto Found = OpenRequests.find(Id);
    if (Found == OpenRequests.end())
      return;
    Value.Rank = Found->second;
    Value.Leaving = Leaving;
    // A call that depends on a busier service reports the lower of the levels.
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
  Rank LowestAccepted = Unranked;
};

} // namespace camphorpin::detail

#endif
