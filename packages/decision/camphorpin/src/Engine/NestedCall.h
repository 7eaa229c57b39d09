#ifndef CAMPHORPIN_SRC_ENGINE_NESTEDCALL_H
#define CAMPHORPIN_SRC_ENGINE_NESTEDCALL_H

#include "camphorpin/Retry.h"
#include "camphorpin/src/Engine/EngineMessages.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_set>

namespace camphorpin::detail {

/// \class NestedCall
/// \brief What a call inherits from the running request that makes it.
struct NestedCall {
  /// The context of the parent, with its current age, its remaining time and
  /// the extra attempts of this call.
  RequestContext InheritedContext;
  RequestKey Key;
  /// No earlier send of this key can have reached another node.
  bool FirstSend = false;
};

/// \class NestedCallOutcome
/// \brief The outcome of a nested call.
struct NestedCallOutcome {
  RequestId Parent{};
  /// Extra attempts that were passed on with the call, and those not used.
  std::uint8_t AllocatedAttempts = 0;
  std::uint8_t UnusedAttempts = 0;
  /// The least urgent rank that the called operation accepts.
  Rank LowestAccepted = Rank(MaxRanks - 1);
  /// The call, or a call nested in it, was refused for lack of capacity.
  bool RefusedForCapacity = false;
};

/// \class NestedCallTracker
/// \brief Tracks the nested calls of a running request.
///
/// Bounded by MaxNestedCalls distinct keys.
class NestedCallTracker {
public:
  explicit NestedCallTracker(std::uint8_t ExtraAttempts)
      : Budget(ExtraAttempts) {}

  /// Begins a nested call.
  /// \returns nothing if the request has made too many calls.
  std::optional<NestedCall> begin(const RequestContext &Parent,
                                  const std::string &Target,
                                  const std::string &Step, Instant Now) {
    if (Keys.size() >= MaxNestedCalls)
      return std::nullopt;
    const std::string Label =
        Step.empty() ? std::to_string(NextOrdinals[Target]++) : Step;
    NestedCall Nested{.InheritedContext = Parent,
                      .Key = Parent.Key.child(Target, Label)};
    const bool IsNew = Keys.insert(Nested.Key).second;
    Nested.FirstSend = IsNew && Parent.FirstSend;
    Nested.InheritedContext.ExtraAttempts = Budget.allocate();
    if (Active++ == 0)
      ActiveSince = Now;
    return Nested;
  }

  void end(const NestedCallOutcome &Outcome, Instant Now) {
    Budget.returnUnused(Outcome.AllocatedAttempts, Outcome.UnusedAttempts);
    LowestRank = std::min(LowestRank, Outcome.LowestAccepted);
    CapacityRefused = CapacityRefused || Outcome.RefusedForCapacity;
    if (--Active == 0)
      DownstreamTime += Now - ActiveSince;
  }

  /// \returns the time that the request has spent waiting for nested calls.
  Duration downstreamTime(Instant Now) const {
    return Active > 0 ? DownstreamTime + (Now - ActiveSince) : DownstreamTime;
  }

  std::uint8_t unusedAttempts() const { return Budget.available(); }
  Rank lowestAccepted() const { return LowestRank; }
  bool hasCapacityRefusal() const { return CapacityRefused; }

private:
  static constexpr std::size_t MaxNestedCalls = 1024;

  AttemptBudget Budget;
  /// The ordinals of the next calls without a step, by target.
  std::map<std::string, std::uint32_t> NextOrdinals;
  std::unordered_set<RequestKey> Keys;
  Rank LowestRank = Rank(MaxRanks - 1);
  bool CapacityRefused = false;
  std::size_t Active = 0;
  Instant ActiveSince;
  Duration DownstreamTime;
};

} // namespace camphorpin::detail

#endif
