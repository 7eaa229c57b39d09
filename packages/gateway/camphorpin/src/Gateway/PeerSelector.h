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
  bool StatusKnown = false;
  GateStatus Status;
  /// Calls of this node that the gate has not answered.
  std::size_t Outstanding = 0;
  /// The request was already refused or failed there.
  bool Tried = false;
};

/// \class PeerSelector
/// \brief Chooses the gate for a request.
///
/// Takes the gate with the smallest expected latency: its smoothed service
/// time, lengthened as its slots fill up, its expected wait, and a handicap for
/// another availability zone. Gates that are unusable, unavailable or tried are
/// taken only when there is no other.
class PeerSelector {
public:
  explicit PeerSelector(Random &Source) : Source(Source) {}

  /// \returns the index of the chosen candidate, or nothing if no candidate is
  /// usable and untried.
  std::optional<std::size_t> choose(std::span<const PeerCandidate> Candidates);

  /// \returns the expected latency in milliseconds.
  static double expectedMillis(const PeerCandidate &Candidate,
                               double DefaultServiceMillis);

private:
  Random &Source;
};

} // namespace camphorpin

#endif
