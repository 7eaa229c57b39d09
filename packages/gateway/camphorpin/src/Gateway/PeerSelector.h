#ifndef CAMPHORPIN_SRC_GATEWAY_PEERSELECTOR_H
#define CAMPHORPIN_SRC_GATEWAY_PEERSELECTOR_H

#include "camphorpin/Core.h"
#include "camphorpin/src/Gateway/PeerMessages.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string>

namespace camphorpin {

/// \class PeerCandidate
/// \brief A gate that could run a request, and what this node knows about it.
struct PeerCandidate {
  std::string Node;
  bool SameZone = false;
  /// The gate is on this host.
  bool Local = false;
  bool Usable = true;
  /// Connections to the gate have failed, and it is being tried again.
  bool Reconnecting = false;
  bool StatusKnown = false;
  GateStatus Status;
  Duration StatusAge;
  /// Calls of this node that the gate has not answered.
  std::size_t Outstanding = 0;
  /// Smoothed service time of the request's route there; 0 if not known.
  Duration RouteTime;
  /// The request was already refused or failed there.
  bool Tried = false;
};

/// \class RouteRequirements
/// \brief What counts when a gate is chosen for requests of a route.
struct RouteRequirements {
  std::uint8_t Rank = 0;
  Duration Objective = Duration::seconds(1);
  /// Bytes of a request and its answer.
  double Bytes = 0;
};

/// \class PeerSelector
/// \brief Chooses the gate for a request.
///
/// Weighs the expected latency against the latency objective: the service time
/// of the route, lengthened as the slots fill up, and the expected wait. The
/// risk of being late grows with the square of their part of the objective, so
/// a request with a tight objective goes to a faster server in another
/// availability zone, and one with time to spare, of a less urgent rank or with
/// a large answer stays in its own. A gate whose server fails part of its runs
/// gets less, and is tried again as that knowledge ages. Gates that are
/// unusable, unavailable or tried are left out, and one that is reconnecting is
/// chosen only if there is no other: its calls would wait for a host that may
/// be gone for good.
class PeerSelector {
public:
  explicit PeerSelector(Random &Source) : Source(Source) {}

  /// \returns the index of the chosen candidate, or nothing if no candidate is
  /// usable and untried.
  std::optional<std::size_t> choose(std::span<const PeerCandidate> Candidates,
                                    const RouteRequirements &Requirements);

  /// \returns the expected latency in milliseconds.
  /// \param RouteMillis the service time of the route at the gate.
  static double expectedMillis(const PeerCandidate &Candidate,
                               double RouteMillis);

  /// \returns what weighs against the gate: 1 for a latency as long as the
  /// objective.
  static double cost(const PeerCandidate &Candidate, double RouteMillis,
                     const RouteRequirements &Requirements);

private:
  /// \returns the lowestCost of the candidates that are reconnecting, or of
  /// those that are not.
  std::optional<std::size_t>
  lowestCost(std::span<const PeerCandidate> Candidates,
             const RouteRequirements &Requirements, bool Reconnecting);
  /// \returns the part of the slots that is in use or waited for.
  static double utilization(const PeerCandidate &Candidate);

  Random &Source;
};

} // namespace camphorpin

#endif
