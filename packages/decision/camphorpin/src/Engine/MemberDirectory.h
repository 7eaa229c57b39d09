#ifndef CAMPHORPIN_SRC_ENGINE_MEMBERDIRECTORY_H
#define CAMPHORPIN_SRC_ENGINE_MEMBERDIRECTORY_H

#include "camphorpin/Configuration.h"
#include "camphorpin/Membership.h"
#include "camphorpin/Routing.h"
#include "camphorpin/src/Engine/Actions.h"
#include "camphorpin/src/Engine/EngineOptions.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace camphorpin::detail {

/// \class LogReadingHandler
/// \brief Supplies the log readings that are piggybacked on gossip messages,
/// and receives those of other nodes. A reading states up to which offset, and
/// as of when, a node has read the platform's log.
class LogReadingHandler {
public:
  virtual ~LogReadingHandler() = default;

  /// \returns the current log reading of this node.
  virtual LogReading currentReading() const = 0;

  /// Handles the reading in the acknowledgement of a probe that this node sent
  /// at \p SentAt.
  virtual void onReadingInAck(HostAddress From, const LogReading &Reading,
                              Instant SentAt) = 0;
};

/// \class PresentMembers
/// \brief The present members, for the configuration module. A member is
/// present unless it is known to be dead or to have left. The list is rebuilt
/// lazily after a change.
class PresentMembers final : public ConfigurationPeers {
public:
  explicit PresentMembers(const Membership &Members) : Members(Members) {}

  void invalidate() { ++Version; }

  std::uint64_t version() const override { return Version; }
  std::span<const ConfigurationPeer> peers() const override;

private:
  const Membership &Members;
  std::uint64_t Version = 1;
  mutable std::uint64_t CachedVersion = 0;
  mutable std::vector<ConfigurationPeer> CachedPeers;
};

/// \class MemberDirectory
/// \brief Maintains the members of the mesh and selects the targets of calls.
///
/// Memory: the member table, and a router of at most MaxSubsetSize peers for
/// each service that was called. The policy documents bound the services.
class MemberDirectory final : private MembershipActions {
public:
  MemberDirectory(const EngineOptions &Options, Actions &Out,
                  Random &RandomSource);

  /// Runs the timers of the membership, and requests the member tables of the
  /// entry points until one has answered.
  void tick(Instant Now);

  /// Adds an entry point, which is a node to join the mesh through.
  void addEntryPoint(const HostAddress &Address);

  /// \param Value must outlive this object. Must be called before any event.
  void setReadingHandler(LogReadingHandler &Value) { ReadingHandler = &Value; }

  /// \returns the present members, for the selection of log readers.
  const ConfigurationPeers &presentMembers() const { return Present; }

  /// \returns true if the node has joined, has no entry points, or has tried to
  /// join until the timeout.
  bool isJoinFinished(Instant Now) const;

  void onGossip(HostAddress From, const GossipMessage &Message, Instant Now);

  /// Selects a member of the service as the target of a call.
  /// \param Excluded nodes that have already failed this request.
  std::optional<ProcessId> pick(const ServiceName &Service,
                                std::span<const ProcessId> Excluded,
                                Instant Now);

  void callStarted(const ServiceName &Service, const ProcessId &Peer,
                   Instant Now);
  void callEnded(const ServiceName &Service, const ProcessId &Peer,
                 PeerCallOutcome Outcome, Duration Latency, Instant Now);

  /// \returns the smoothed latency of calls to a peer, or 0 if unknown.
  Duration expectedLatency(const ServiceName &Service, const ProcessId &Peer);

  /// \returns up to \p Count random present members other than this node.
  std::vector<HostAddress> randomPeers(std::size_t Count);

  /// Announces that this node accepts no new work.
  void leave(Instant Now) { Members.leave(Now); }
  /// Announces that this process has no running work and exits now.
  void exit(Instant Now) { Members.exit(Now); }

  const Membership &membership() const { return Members; }

private:
  struct Route {
    ServiceRouter Router;
    bool Stale = true;
  };

  void sendGossip(HostAddress To, const GossipMessage &Message) override;
  void acknowledged(HostAddress From, const LogReading &Reading,
                    Instant SentAt) override;
  void memberChanged(const MemberRecord &Record) override;
  void zoneChanged(const ZoneName &Zone, bool Reachable) override;
  void selfRenewed(const ProcessId &Renewed) override;

  Route &route(const ServiceName &Service, Instant Now);

  Actions &Out;
  Random &RandomSource;
  LogReadingHandler *ReadingHandler = nullptr;
  Membership Members;
  PresentMembers Present;
  std::vector<HostAddress> EntryPoints;
  std::map<ServiceName, Route> Routes;
  std::optional<Instant> FirstTick;
  Instant NextJoin;
};

} // namespace camphorpin::detail

#endif
