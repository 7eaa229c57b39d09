#ifndef CAMPHORPIN_SRC_ADMISSION_UPSTREAMSHEDDER_H
#define CAMPHORPIN_SRC_ADMISSION_UPSTREAMSHEDDER_H

#include "camphorpin/Core.h"

#include <array>
#include <cstddef>
#include <unordered_map>
#include <vector>

namespace camphorpin {

/// \class SheddingObservation
/// \brief What an answer of a peer says about the load of a service.
struct SheddingObservation {
  ServiceName Service;
  ProcessId Peer;
  /// Rank of the call that was answered.
  camphorpin::Rank Rank;
  /// The least urgent rank that the peer accepts (its shedding level).
  camphorpin::Rank Level;
  /// False if the peer refused the call for lack of capacity.
  bool Accepted = true;
};

/// \class UpstreamShedder
/// \brief Refuses calls at the calling node that the called service would
/// refuse anyway.
///
/// Only ranks less urgent than the shedding level of the service are refused,
/// and only while every peer heard from recently sheds them. Of these ranks it
/// sends at most about twice what the peers accept, so that floors stay used,
/// and at least a trickle, so that recovery is noticed.
///
/// Memory is bounded: at most MaxServices services with MaxPeers peers each;
/// calls to services beyond the bound are always admitted.
class UpstreamShedder {
public:
  static constexpr std::size_t MaxServices = 64;
  static constexpr std::size_t MaxPeers = 32;
  /// A shedding level counts for this long after the answer that carried it.
  static constexpr Duration LevelLifetime = Duration::seconds(2);

  /// \returns true if the call may be sent; otherwise it is to be refused with
  /// RefusalReason::Shed.
  bool admit(const ServiceName &Service, Rank CallRank, Instant Now);

  /// Learns from an answer or refusal that a peer sent.
  void observe(const SheddingObservation &Seen, Instant Now);

  /// \returns the least urgent rank that the service accepts as far as known;
  /// the least urgent of all ranks if nothing is known.
  Rank level(const ServiceName &Service, Instant Now) const;

private:
  struct PeerLevel {
    ProcessId Peer;
    Rank Level;
    Instant Until;
  };

  /// Counts of one rank with exponential decay.
  struct RankCounts {
    double Offered = 0;
    double Accepted = 0;
    /// Fraction of the next call that is already allowed.
    double Credit = 0;
    Instant Updated;
    Instant LastSent;
  };

  struct ServiceState {
    std::vector<PeerLevel> Peers;
    std::array<RankCounts, MaxRanks> Ranks;
  };

  ServiceState *findOrAdd(const ServiceName &Service, Instant Now);
  static Rank levelOf(const ServiceState &State, Instant Now);
  static void decay(RankCounts &Counts, Instant Now);

  std::unordered_map<ServiceName, ServiceState> Services;
};

} // namespace camphorpin

#endif
