#ifndef CAMPHORPIN_SRC_ADMISSION_UPSTREAMSHEDDER_H
#define CAMPHORPIN_SRC_ADMISSION_UPSTREAMSHEDDER_H

#include "camphorpin/Core.h"

#include <array>
#include <cstddef>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace camphorpin {

/// \class SheddingObservation
/// \brief What an answer of a peer says about the load of a service.
struct SheddingObservation {
  ServiceName Service;
  ProcessId Peer;
  /// Rank and caller of the call that was answered.
  camphorpin::Rank Rank;
  std::string_view Caller;
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
/// and at least a trickle, so that recovery is noticed. This is decided per
/// caller, so that a caller within its share does not pay for a flood.
///
/// Memory is bounded: at most MaxServices services with MaxPeers peers and
/// CallerClasses counts per rank each. Callers share counts by hash. Calls to
/// services beyond the bound are always admitted.
class UpstreamShedder {
public:
  static constexpr std::size_t MaxServices = 64;
  static constexpr std::size_t MaxPeers = 32;
  static constexpr std::size_t CallerClasses = 64;
  /// A shedding level counts for this long after the answer that carried it.
  static constexpr Duration LevelLifetime = Duration::seconds(2);

  /// \returns true if the call may be sent; otherwise it is to be refused with
  /// RefusalReason::Shed.
  bool admit(const ServiceName &Service, Rank CallRank, std::string_view Caller,
             Instant Now);

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

  /// Counts of one rank and caller class with exponential decay.
  struct CallCounts {
    double Offered = 0;
    double Accepted = 0;
    /// Fraction of the next call that is already allowed.
    double Credit = 0;
    Instant Updated;
  };

  struct RankState {
    /// Empty until the rank has calls.
    std::vector<CallCounts> Counts;
    Instant LastSent;
  };

  struct ServiceState {
    std::vector<PeerLevel> Peers;
    std::array<RankState, MaxRanks> Ranks;
  };

  ServiceState *findOrAdd(const ServiceName &Service, Instant Now);
  static Rank levelOf(const ServiceState &State, Instant Now);
  static CallCounts &countsOf(RankState &State, std::string_view Caller,
                              Instant Now);

  std::unordered_map<ServiceName, ServiceState> Services;
};

} // namespace camphorpin

#endif
