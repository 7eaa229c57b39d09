#include "camphorpin/src/Policy/PolicyCheck.h"

#include "camphorpin/src/Policy/PolicyLimits.h"

#include <algorithm>
#include <map>
#include <set>

namespace camphorpin {

namespace {

std::string rankPath(std::size_t Index, std::string_view Field) {
  return "ranks[" + std::to_string(Index) + "]." + std::string(Field);
}

std::string toString(const CallTarget &Target) {
  return Target.Service.string() + "/" + Target.Operation.string();
}

/// \class CallGraph
/// \brief The call graph of all operations of all services, for validation
/// across documents.
class CallGraph {
public:
  CallGraph(const MeshPolicy &Mesh, std::span<const ServicePolicy> Services)
      : Mesh(Mesh) {
    for (const ServicePolicy &Service : Services)
      addService(Service);
  }

  PolicyErrors check() {
    for (const auto &Entry : Operations)
      checkCalls(Entry.first, *Entry.second);
    // Fills LongestChains and reports cycles.
    for (const auto &Entry : Operations)
      longestChainFrom(Entry.first);
    checkChainLengths();
    return std::move(Errors);
  }

private:
  void addService(const ServicePolicy &Service) {
    for (const auto &Entry : Service.Operations) {
      const CallTarget Target{Service.Service, Entry.first};
      const bool Inserted = Operations.emplace(Target, &Entry.second).second;
      if (!Inserted)
        report(Target, "", "defined twice", "one document for each service");
    }
  }

  void checkCalls(const CallTarget &Caller, const OperationPolicy &Policy) {
    for (std::size_t Index = 0; Index < Policy.Calls.size(); ++Index) {
      const CallTarget &Callee = Policy.Calls[Index];
      const std::string Field = ".calls[" + std::to_string(Index) + "]";
      const auto Found = Operations.find(Callee);
      if (Found == Operations.end()) {
        report(Caller, Field, toString(Callee), "an operation that exists",
               PolicyFault::UnknownName);
        continue;
      }
      const Duration Allowed = Policy.Deadline;
      const Duration Actual = Found->second->Deadline;
      if (Actual > Allowed)
        report(Caller, Field,
               toString(Callee) + " with a deadline of " +
                   std::to_string(Actual.wholeMillis()) + " ms",
               "a call with a deadline of at most " +
                   std::to_string(Allowed.wholeMillis()) + " ms");
    }
  }

  /// Depth-first search with memoization. A call that closes a cycle is
  /// reported and not followed.
  /// \returns the number of calls in the longest chain that starts with the
  /// call to \p Target, including that call.
  std::size_t longestChainFrom(const CallTarget &Target) {
    const auto Known = LongestChains.find(Target);
    if (Known != LongestChains.end())
      return Known->second;
    const auto Found = Operations.find(Target);
    if (Found == Operations.end())
      return 0;
    ActiveChain.push_back(Target);
    std::size_t Longest = 0;
    for (const CallTarget &Callee : Found->second->Calls) {
      if (std::find(ActiveChain.begin(), ActiveChain.end(), Callee) !=
          ActiveChain.end())
        reportCycle(Callee);
      else
        Longest = std::max(Longest, longestChainFrom(Callee));
    }
    ActiveChain.pop_back();
    LongestChains[Target] = Longest + 1;
    return Longest + 1;
  }

  void reportCycle(const CallTarget &Start) {
    std::string Text;
    const auto First = std::find(ActiveChain.begin(), ActiveChain.end(), Start);
    for (auto Entry = First; Entry != ActiveChain.end(); ++Entry)
      Text += toString(*Entry) + " -> ";
    report(ActiveChain.back(), ".calls", "the cycle " + Text + toString(Start),
           "a call graph without cycles");
  }

  void checkChainLengths() {
    std::set<CallTarget> Called;
    for (const auto &Entry : Operations)
      Called.insert(Entry.second->Calls.begin(), Entry.second->Calls.end());
    // Report a chain only once, at its first operation.
    for (const auto &Entry : LongestChains)
      if (Entry.second > Mesh.MaxHops && !Called.contains(Entry.first))
        report(Entry.first, ".calls",
               "a chain of " + std::to_string(Entry.second) + " calls",
               "at most " + std::to_string(Mesh.MaxHops) +
                   " calls (maxHops of mesh)");
  }

  void report(const CallTarget &Target, const std::string &Field,
              std::string Found, std::string Allowed,
              PolicyFault Fault = PolicyFault::Inconsistent) {
    Errors.push_back({Fault, "service/" + Target.Service.string(),
                      "operations." + Target.Operation.string() + Field,
                      std::move(Found), std::move(Allowed)});
  }

  const MeshPolicy &Mesh;
  std::map<CallTarget, const OperationPolicy *> Operations;
  std::map<CallTarget, std::size_t> LongestChains;
  /// The calls from the first operation of the search to the present one.
  std::vector<CallTarget> ActiveChain;
  PolicyErrors Errors;
};

} // namespace

PolicyErrors checkMeshPolicy(const MeshPolicy &Policy) {
  PolicyErrors Errors;
  const auto Report = [&Errors](std::string Path, std::string Found,
                                std::string Allowed) {
    Errors.push_back({PolicyFault::Inconsistent, "", std::move(Path),
                      std::move(Found), std::move(Allowed)});
  };
  if (Policy.Ranks.empty() || Policy.Ranks.size() > MaxRanks)
    Report("ranks", std::to_string(Policy.Ranks.size()) + " ranks",
           "1 to " + std::to_string(MaxRanks) + " ranks");
  double FloorSum = 0;
  std::set<std::string> Names;
  for (std::size_t Index = 0; Index < Policy.Ranks.size(); ++Index) {
    const RankPolicy &Rank = Policy.Ranks[Index];
    FloorSum += Rank.Floor;
    if (!Names.insert(Rank.Name).second)
      Report(rankPath(Index, "name"), Rank.Name, "a name used once");
    if (Rank.Cap <= 0)
      Report(rankPath(Index, "cap"), "0", "a share above 0");
    if (Rank.Floor > Rank.Cap)
      Report(rankPath(Index, "floor"), std::to_string(Rank.Floor),
             "at most the cap, " + std::to_string(Rank.Cap));
  }
  if (FloorSum > 1 + detail::ShareTolerance)
    Report("ranks", "floors that sum to " + std::to_string(FloorSum),
           "a sum of at most 1");
  return Errors;
}

PolicyErrors checkPolicies(const MeshPolicy &Mesh,
                           std::span<const ServicePolicy> Services) {
  return CallGraph(Mesh, Services).check();
}

} // namespace camphorpin
