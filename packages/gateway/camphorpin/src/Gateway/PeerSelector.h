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
/// \brief A node that could execute a request, and what is known about it.
struct PeerCandidate {
  std::string Node;
  bool SameZone = false;
  /// The node runs on this host.
  bool Local = false;
  /// False while connecting to the node fails or is slow.
  bool Usable = true;
  /// Connections to the node have failed, and it is reconnecting.
  bool Reconnecting = false;
  bool StatusKnown = false;
  BackendStatus Status;
  Duration StatusAge;
  /// Calls from this node that the candidate has not answered yet.
  std::size_t Outstanding = 0;
  /// Smoothed service time of the request's route at the node; 0 if unknown.
  Duration RouteTime;
  /// The request has already been refused or has failed there.
  bool Tried = false;
};

/// \class RouteRequirements
/// \brief Properties of a route that affect the choice of a node.
struct RouteRequirements {
  std::uint8_t Rank = 0;
  Duration Objective = Duration::seconds(1);
  /// Size of a request and its answer in bytes.
  double Bytes = 0;
};

/// \class PeerSelector
/// \brief Selects the node that executes a request.
///
/// The cost of a node depends on the expected latency relative to the latency
/// objective. The expected latency consists of the service time of the route,
/// which grows with the utilization of the slots, and the expected wait. The
/// risk of missing the objective grows with the square of that ratio. A request
/// with a tight objective therefore goes to a faster server in another
/// availability zone, whereas one with a loose objective, a less urgent rank or
/// a large answer stays in its own zone. A node whose server fails some
/// requests gets fewer of them, and is tried again as that information ages.
/// Nodes that are unusable, unavailable or already tried are skipped. A node
/// that is reconnecting is chosen only if there is no other, because calls to
/// it would wait for a host that may never come back.
class PeerSelector {
public:
  explicit PeerSelector(Random &RandomSource) : RandomSource(RandomSource) {}

  /// \returns the index of the selected candidate, or nothing if every
  /// candidate is unusable, unavailable or already tried.
  std::optional<std::size_t> choose(std::span<const PeerCandidate> Candidates,
                                    const RouteRequirements &Requirements);

  /// \returns the expected latency in milliseconds.
  /// \param RouteMillis the service time of the route at the node.
  static double expectedMillis(const PeerCandidate &Candidate,
                               double RouteMillis);

  /// \returns the cost of the node; an expected latency equal to the objective
  /// costs 1.
  static double cost(const PeerCandidate &Candidate, double RouteMillis,
                     const RouteRequirements &Requirements);

private:
  /// \returns the candidate of the lowest cost among those that are
  /// reconnecting, or among those that are not.
  std::optional<std::size_t>
  lowestCost(std::span<const PeerCandidate> Candidates,
             const RouteRequirements &Requirements, bool Reconnecting);
  /// \returns the number of running and queued requests as a fraction of the
  /// slots; it exceeds 1 if requests are queued.
  static double utilization(const PeerCandidate &Candidate);

  Random &RandomSource;
};

} // namespace camphorpin

#endif
