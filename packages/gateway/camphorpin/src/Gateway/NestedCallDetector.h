#ifndef CAMPHORPIN_SRC_GATEWAY_NESTEDCALLDETECTOR_H
#define CAMPHORPIN_SRC_GATEWAY_NESTEDCALLDETECTOR_H

#include "camphorpin/Core.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace camphorpin {

/// \class NestedCallDetector
/// \brief Tells requests that the runs of the local backend server make from
/// those of callers on the host.
///
/// Both arrive at the same address and nothing marks them. A call of a run ends
/// at the deadline that the run was given, so the requests of a route that runs
/// call end at the same instants as running runs far more often than chance
/// would have it. A backend server that gives its calls deadlines of their own
/// is not recognized; its calls then count as requests of callers.
class NestedCallDetector {
public:
  /// A run was given \p Deadline.
  void onRunStart(std::uint64_t Run, Instant Deadline);
  void onRunEnd(std::uint64_t Run);

  /// A request of \p Route begins on the host and ends at \p Deadline.
  /// \returns true if the requests of this route are calls of runs.
  bool onRequest(const std::string &Route, Instant Deadline);

  /// \returns true if the requests of some route are known as calls of runs.
  bool detectsNestedCalls() const;

private:
  bool matchesRunDeadline(Instant Deadline) const;
  double matchProbability(Instant Deadline) const;

  std::map<std::uint64_t, Instant> Runs;
  std::multiset<Instant> Deadlines;
  /// By route: smoothed matches beyond those that chance explains.
  std::map<std::string, double> ExcessMatchRate;
};

} // namespace camphorpin

#endif
