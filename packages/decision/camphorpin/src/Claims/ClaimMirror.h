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
/// \brief Keeps copies of the tables of other homes and fences those homes.
///
/// State: one table for each home that names this process in its mirrors, at
/// most ClaimOptions::MaxKeys keys each.
class ClaimMirror {
public:
  ClaimMirror(const ProcessId &Self, const ClaimOptions &Options,
              ClaimActions &Actions, const Clock &Time)
      : Self(Self), Options(Options), Actions(Actions), Time(Time) {}

  /// Takes over a newer home set; older ones are ignored. Copies of homes that
  /// the set does not list any more are dropped.
  void adopt(const HomeSet &NewSet);

  void onMessage(const CopyClaim &Message);
  void onMessage(const ReleaseClaim &Message);
  void onMessage(const SyncPage &Message);
  /// Handles requests that name a mirror pair; others belong to ClaimHome.
  void onMessage(const ResolveRequest &Message);

  /// Forgets expired keys; to be called every second.
  void tick();

  /// \returns the number of keys in all copies.
  std::size_t keys() const;

private:
  struct Replica {
    ClaimTable Table;
    /// Copies and pages of lower epochs are refused.
    Epoch ClosedBelow = 0;
    /// The pair that the table belongs to.
    Epoch LinkSince = 0;
    bool Complete = false;
    std::uint64_t SyncId = 0;
    std::uint32_t NextPage = 0;
    ClaimKnowledge Knowledge;
  };

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
