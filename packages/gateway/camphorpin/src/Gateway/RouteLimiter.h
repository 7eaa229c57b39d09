#ifndef CAMPHORPIN_SRC_GATEWAY_ROUTELIMITER_H
#define CAMPHORPIN_SRC_GATEWAY_ROUTELIMITER_H

#include "camphorpin/Core.h"

#include <cstdint>
#include <map>
#include <string>

namespace camphorpin {

/// \brief What the outcome of a run indicates about the services that it
/// called.
enum class RunOutcome : std::uint8_t {
  /// The run succeeded.
  Succeeded,
  /// The run failed while calls to other services failed, or it timed out.
  DependencyFailed,
  /// No indication, for example because the run was cancelled.
  Unknown,
};

/// \class RouteLimiter
/// \brief Limits the concurrent runs of a route whose calls to other services
/// fail.
///
/// Handles the overload of a service deep in the call graph. A run that fails
/// because one of its calls was refused has wasted all its other calls, and its
/// caller retries it. Refusing some runs before they start lets the others
/// finish. Each failed dependency decreases the limit of the route by a factor,
/// and each success increases it. The more calls a run makes, the more likely
/// one of them is refused, so the routes at the top of the call graph are
/// limited most.
class RouteLimiter {
public:
  /// \param Rank the rank of the route; the limit of a less urgent one recovers
  /// more slowly.
  /// \param Nested the request is a nested call, which is always admitted.
  /// Refusing it would waste the run that waits for it, and limits that react
  /// to each other's refusals would stay low after the overload has ended.
  /// \returns true if another run is admitted; it is then counted.
  bool admit(const std::string &Route, std::uint8_t Rank, bool Nested = false);

  /// The run has ended, or was refused after it had been admitted.
  void end(const std::string &Route, RunOutcome Outcome, Instant Now);

  /// \returns the limit of \p Route, or 0 if it has none.
  double limit(const std::string &Route) const;

private:
  struct State {
    std::uint32_t Active = 0;
    std::uint8_t Rank = 0;
    /// Limit on active runs; 0 if there is none.
    double Limit = 0;
    Instant LastDecrease;
  };

  std::map<std::string, State> Routes;
};

} // namespace camphorpin

#endif
