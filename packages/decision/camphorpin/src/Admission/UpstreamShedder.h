#ifndef CAMPHORPIN_SRC_ADMISSION_UPSTREAMSHEDDER_H
#define CAMPHORPIN_SRC_ADMISSION_UPSTREAMSHEDDER_H

#include "camphorpin/Policy.h"

#include <cstddef>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace camphorpin {

/// \class SheddingObservation
/// \brief Load information about an operation in the answer of a peer.
struct SheddingObservation {
  CallTarget Target;
  ProcessId Peer;
  /// Rank and caller of the call that was answered.
  camphorpin::Rank Rank;
  std::string_view Caller;
  /// The least urgent rank that is accepted: the shedding level of the peer's
  /// backend server, or a more urgent one that the peer learned from the calls
  /// which it made for this call. In this way the level of a service deep in
  /// the call graph propagates to the ingress node.
  camphorpin::Rank Level;
  /// False if the call was refused for lack of capacity, by the peer or by a
  /// service that the peer called for it.
  bool Accepted = true;
};

/// \class UpstreamShedder
/// \brief Refuses calls at the calling node that the called service, or one
/// that it depends on, would refuse anyway.
///
/// Limits the ranks less urgent than the shedding level of the operation, as
/// long as every peer with an unexpired level sheds them, and the most urgent
/// rank too once all other ranks are shed. Calls of a limited rank are sent at
/// up to about twice the accepted rate (four times for the most urgent rank),
/// so that the floors remain used, and at least a few are sent as probes, so
/// that recovery is detected. The decision is made per caller, so that an
/// overloading caller does not affect one within its share.
///
/// Memory is bounded: at most MaxTargets operations, each with at most MaxPeers
/// peers. Callers are hashed into CallerBuckets buckets of counts per
/// operation. Calls of operations beyond the bound are always admitted.
class UpstreamShedder {
public:
  static constexpr std::size_t MaxTargets = 256;
  static constexpr std::size_t MaxPeers = 32;
  static constexpr std::size_t CallerBuckets = 64;
  /// A shedding level counts for this long after the answer that carried it.
  static constexpr Duration LevelLifetime = Duration::seconds(2);

  /// \returns true if the call may be sent; otherwise it is to be refused with
  /// RefusalReason::Shed.
  bool admit(const CallTarget &Target, Rank CallRank, std::string_view Caller,
             Instant Now);

  /// Learns from an answer or refusal that a peer sent.
  void observe(const SheddingObservation &Observation, Instant Now);

  /// \returns the least urgent rank that is accepted as far as known; the
  /// least urgent of all ranks if nothing is known.
  Rank level(const CallTarget &Target, Instant Now) const;

private:
  struct PeerLevel {
    ProcessId Peer;
    Rank Level;
    Instant Expiry;
  };

  /// Exponentially decaying counts of one caller bucket.
  struct CallCounts {
    double Offered = 0;
    double Accepted = 0;
    /// Fraction of the next call that is already allowed.
    double Credit = 0;
    Instant Updated;
  };

  struct TargetState {
    std::vector<PeerLevel> Peers;
    std::vector<CallCounts> Counts;
    Instant LastSent;
  };

  struct TargetHash {
    std::size_t operator()(const CallTarget &Target) const;
  };

  TargetState *findOrAdd(const CallTarget &Target, Instant Now);
  static Rank levelOf(const TargetState &State, Instant Now);
  static CallCounts &countsOf(TargetState &State, std::string_view Caller,
                              Instant Now);

  std::unordered_map<CallTarget, TargetState, TargetHash> Targets;
};

} // namespace camphorpin

#endif
