#ifndef CAMPHORPIN_SRC_GATEWAY_NESTEDCALLDETECTOR_H
#define CAMPHORPIN_SRC_GATEWAY_NESTEDCALLDETECTOR_H

#include "camphorpin/Core.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace camphorpin {

/// \class NestedCallDetector
/// \brief Distinguishes nested calls, which running requests of the local
/// backend server make, from requests of callers on the host.
///
/// Both arrive at the same address without any marker. A nested call has the
/// deadline of the run that makes it. On a route that is used for nested calls,
/// deadlines therefore match those of active runs far more often than by
/// chance. A backend server that sets deadlines of its own for its calls is not
/// detected; its calls count as requests of callers.
class NestedCallDetector {
public:
  /// A run with \p Deadline has started.
  void onRunStart(std::uint64_t Run, Instant Deadline);
  void onRunEnd(std::uint64_t Run);

  /// A request of \p Route with \p Deadline starts on the host.
  /// \returns true if requests of this route are classified as nested calls.
  bool onRequest(const std::string &Route, Instant Deadline);

  /// \returns true if any route is classified as nested calls.
  bool detectsNestedCalls() const;

private:
  /// \returns true if the deadline matches that of a run.
  bool matchesRunDeadline(Instant Deadline) const;
  /// \returns the estimated probability that a deadline chosen independently of
  /// the runs matches that of a run.
  double chanceMatchProbability(Instant Deadline) const;

  std::map<std::uint64_t, Instant> Runs;
  std::multiset<Instant> Deadlines;
  /// By route: smoothed rate of deadline matches in excess of the rate expected
  /// by chance.
  std::map<std::string, double> ExcessMatchRate;
};

} // namespace camphorpin

#endif
