#ifndef CAMPHORPIN_SRC_ROUTING_SERVICEROUTER_H
#define CAMPHORPIN_SRC_ROUTING_SERVICEROUTER_H

#include "camphorpin/src/Routing/PeerStats.h"
#include "camphorpin/src/Routing/PeerSubset.h"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace camphorpin {

/// \class ServiceRouter
/// \brief Sends the calls of one node to the backend servers of one service.
///
/// Power of two choices within the own availability zone and outside it;
/// another zone is chosen once the own zone costs more than CrossZoneCostFactor
/// times as much.
class ServiceRouter {
public:
  static constexpr double CrossZoneCostFactor = 2.0;

  explicit ServiceRouter(const MemberRecord &Self) : Self(Self) {}

  /// Updates the subset. \p Members are the reachable members of the service
  /// that accept calls. The observations of members that stay are kept; a new
  /// incarnation starts without observations.
  void update(std::span<const MemberRecord> Members, Instant Now);

  /// \param Excluded peers that have failed this request already.
  /// \returns the peer for the next call, or nothing if none is available.
  std::optional<ProcessId> pick(std::span<const ProcessId> Excluded,
                                Random &Source, Instant Now) const;

  void onCallStarted(const ProcessId &Peer, Instant Now);

  /// \p Peer may have left the subset since the call started.
  void onCallEnded(const ProcessId &Peer, PeerCallOutcome Outcome,
                   Duration Latency, Instant Now);

  /// \returns the observations of \p Peer, or null.
  const PeerStats *stats(const ProcessId &Peer) const;

  std::size_t subsetSize() const { return Peers.size(); }

private:
  struct Peer {
    ProcessId Process;
    bool IsSameZone;
    PeerStats Stats;
  };

  const Peer *pickBetterOfTwo(std::span<const Peer *const> Candidates,
                              Random &Source, Instant Now) const;
  Peer *find(const ProcessId &Process);

  MemberRecord Self;
  std::vector<Peer> Peers;
  /// True after the first update that contained members.
  bool HadPeers = false;
};

} // namespace camphorpin

#endif
