#ifndef CAMPHORPIN_SRC_GATEWAY_ROUTELIMITER_H
#define CAMPHORPIN_SRC_GATEWAY_ROUTELIMITER_H

#include "camphorpin/Core.h"

#include <cstdint>
#include <map>
#include <string>

namespace camphorpin {

/// \brief What the end of a run says about the services it called.
enum class RunOutcome : std::uint8_t {
  /// It succeeded.
  Succeeded,
  /// It failed while calls to other services failed, or it ran out of time.
  DependencyFailed,
  /// It says nothing, for example because it was cancelled.
  Unknown,
};

/// \class RouteLimiter
/// \brief Bounds the runs of a route whose calls to other services fail.
///
/// Answers the load in which a service deep in the call graph is overloaded: a
/// run that fails because one of its calls was refused has wasted all its other
/// calls, and its caller sends it again. Refusing some runs before they start
/// lets the others finish. Each failed dependency lowers the bound of the route
/// by a factor, each success raises it again; the deeper the overload, the more
/// calls a run needs, so the routes at the top of the graph are bounded most.
class RouteLimiter {
public:
  /// \param Rank the rank of the route; less urgent ones regain less.
  /// \param Nested a run that has begun waits for it. It is always taken:
  /// refusing it would waste that run, and bounds that answer each other's
  /// refusals would stay low after the overload has gone.
  /// \returns true if another run may be taken; it is then counted.
  bool admit(const std::string &Route, std::uint8_t Rank, bool Nested = false);

  /// The run has ended, or was refused after all.
  void end(const std::string &Route, RunOutcome Outcome, Instant Now);

  /// \returns the bound of \p Route, or 0 if it has none.
  double bound(const std::string &Route) const;

private:
  struct State {
    std::uint32_t Active = 0;
    std::uint8_t Rank = 0;
    /// Active runs that are allowed; 0 if there is no bound.
    double Bound = 0;
    Instant LastDecrease;
  };

  std::map<std::string, State> Routes;
};

} // namespace camphorpin

#endif
