#ifndef CAMPHORPIN_SRC_CLAIMS_CLAIMMIRROR_H
#define CAMPHORPIN_SRC_CLAIMS_CLAIMMIRROR_H

#include "camphorpin/Core.h"
#include "camphorpin/src/Claims/ClaimActions.h"
#include "camphorpin/src/Claims/ClaimOptions.h"
#include "camphorpin/src/Claims/ClaimTable.h"
#include "camphorpin/src/Claims/HomeSet.h"

#include <cstdint>
#include <map>

namespace camphorpin {

/// \class ClaimMirror
/// \brief The mirror role of this process: stores replicas of the tables of
/// other homes and fences those homes.
///
/// State: one replica per home whose list of mirrors contains this process, of
/// at most ClaimOptions::MaxKeys keys.
class ClaimMirror {
public:
  ClaimMirror(const ProcessId &Self, const ClaimOptions &Options,
              ClaimActions &Actions, const Clock &Time)
      : Self(Self), Options(Options), Actions(Actions), Time(Time) {}

  /// Applies a newer home set; an older one is ignored. Replicas of homes that
  /// the set no longer lists are dropped.
  void adopt(const HomeSet &NewSet);

  void onMessage(const CopyClaim &Message);
  void onMessage(const ReleaseClaim &Message);
  void onMessage(const SyncPage &Message);
  /// Handles requests to a mirror (LinkSince is not 0). Requests to a prior
  /// owner are handled by ClaimHome.
  void onMessage(const ResolveRequest &Message);

  /// Removes expired keys. Must be called every second.
  void tick();

  /// \returns the total number of keys in all replicas.
  std::size_t keyCount() const;

private:
  struct Replica {
    ClaimTable Table;
    /// The home is fenced in all lower epochs: their copies and pages are
    /// rejected.
    Epoch FencedBelow = 0;
    /// MirrorLink::Since of the pair that the table belongs to.
    Epoch LinkSince = 0;
    /// True once the last page of a transfer has been stored.
    bool Complete = false;
    /// The newest transfer and the next page expected of it.
    std::uint64_t SyncId = 0;
    std::uint32_t NextPage = 0;
    ClaimKnowledge Knowledge;
  };

  /// \returns the replica of \p Home, created if missing.
  Replica &replica(const ProcessId &Home);

  ProcessId Self;
  ClaimOptions Options;
  ClaimActions &Actions;
  const Clock &Time;
  HomeSet Set;
  std::map<ProcessId, Replica> Replicas;
};

} // namespace camphorpin

#endif
