#ifndef CAMPHORPIN_SRC_ENGINE_MEMBERDIRECTORY_H
#define CAMPHORPIN_SRC_ENGINE_MEMBERDIRECTORY_H

#include "camphorpin/Membership.h"
#include "camphorpin/Routing.h"
#include "camphorpin/src/Engine/Actions.h"
#include "camphorpin/src/Engine/EngineOptions.h"

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace camphorpin::detail {

/// \class MemberDirectory
/// \brief The members of the mesh and the choice among them.
///
/// Memory: the member table, and a router of at most MaxSubset peers for each
/// service that was called; services are bounded by the policy documents.
class MemberDirectory final : private MembershipActions {
public:
  MemberDirectory(const EngineOptions &Options, Actions &Out, Random &Source);

  /// Asks the entry points for their tables until one has answered.
  void tick(Instant Now);

  /// Adds a node to join through.
  void addEntryPoint(const HostAddress &Address);

  /// Sets the reading of the log that rides on messages.
  void setReading(const LogReading &Reading) { Members.setReading(Reading); }

  /// \returns true if the node need not wait for others any longer.
  bool mayServe(Instant Now) const;

  void onGossip(HostAddress From, const GossipMessage &Message, Instant Now);

  /// \param Excluded nodes that failed this request already.
  std::optional<ProcessId> pick(const ServiceName &Service,
                                std::span<const ProcessId> Excluded,
                                Instant Now);

  void callStarted(const ServiceName &Service, const ProcessId &Peer,
                   Instant Now);
  void callEnded(const ServiceName &Service, const ProcessId &Peer, CallEnd End,
                 Duration Latency, Instant Now);

  /// \returns the smoothed duration of calls to a peer.
  Duration expectedLatency(const ServiceName &Service, const ProcessId &Peer);

  /// \returns up to \p Count other members that are present, at random.
  std::vector<HostAddress> randomPeers(std::size_t Count);

  void leave(Instant Now) { Members.leave(Now); }
  void exit(Instant Now) { Members.exit(Now); }

  const Membership &members() const { return Members; }

private:
  struct Route {
    ServiceRouter Router;
    bool Stale = true;
  };

  void sendGossip(HostAddress To, const GossipMessage &Message) override;
  void memberChanged(const MemberRecord &Record) override;
  void zoneChanged(const ZoneName &Zone, bool Reachable) override;
  void selfRenewed(const ProcessId &Renewed) override;

  Route &route(const ServiceName &Service, Instant Now);

  Actions &Out;
  Random &Source;
  Membership Members;
  std::vector<HostAddress> EntryPoints;
  std::map<ServiceName, Route> Routes;
  std::optional<Instant> FirstTick;
  Instant NextJoin;
};

} // namespace camphorpin::detail

#endif
