#ifndef CAMPHORPIN_SRC_ENGINE_CLAIMMANAGER_H
#define CAMPHORPIN_SRC_ENGINE_CLAIMMANAGER_H

#include "camphorpin/Claims.h"
#include "camphorpin/Policy.h"
#include "camphorpin/src/Engine/Actions.h"
#include "camphorpin/src/Engine/MemberDirectory.h"

#include <memory>

namespace camphorpin::detail {

/// \class ClaimListener
/// \brief Receives the claim decisions about non-idempotent calls.
class ClaimListener {
public:
  virtual ~ClaimListener() = default;

  virtual void claimDecided(RequestId Id, const ClaimDecision &Decision) = 0;
};

/// \class ClaimManager
/// \brief Owns the claim roles of this node, which are home, mirror of other
/// homes, and proposer of home set changes, and connects them to the engine.
class ClaimManager final : private ClaimActions,
                           private HomeSetActions,
                           private ProcessExitDetector {
public:
  /// \param Listener, Out, Members and Time must outlive the manager.
  ClaimManager(const ServiceName &Service, ClaimListener &Listener,
               Actions &Out, const MemberDirectory &Members, const Clock &Time);

  /// Creates the roles for the identity \p Self, without any claims. Must be
  /// called before the other functions, and again when the node has taken
  /// another identity.
  void start(const ProcessId &Self, const ClaimOptions &Options);

  /// Requests the claim of the key of a call. ClaimListener::claimDecided()
  /// follows, possibly from within this function.
  void requestClaim(RequestId Id, const RequestContext &Context,
                    Instant Deadline);
  /// Ends a claim that was granted: the run has completed and its answer is
  /// stored (finish), it may have run without an answer (fail), or it has not
  /// run (release).
  void finish(const RequestKey &Key, RequestId Run, std::uint64_t Bytes);
  void fail(const RequestKey &Key) { CurrentRoles->Home.fail(Key); }
  void release(const RequestKey &Key) { CurrentRoles->Home.release(Key); }

  void adopt(const HomeSet &Set);
  /// Reports that this node has applied everything that was appended to the
  /// platform's log before \p AsOf.
  void onLogUpToDate(Instant AsOf) { CurrentRoles->Home.onLogRead(AsOf); }
  void onMessage(const ProcessId &To, const ClaimMessage &Message);

  /// Passes the members of the service and their states to the proposer. Must
  /// be called every second.
  void updateMembers();
  void tick(Instant Now);

  /// \returns true if the node may exit without losing claims.
  bool mayExit() const { return CurrentRoles->Home.mayLeave(); }

  const ClaimHome &home() const { return CurrentRoles->Home; }

private:
  struct Roles {
    Roles(const ProcessId &Self, const ClaimOptions &Options,
          ClaimManager &Owner);

    ClaimHome Home;
    ClaimMirror Mirror;
    HomeSetProposer Proposer;
  };

  void sendClaim(const ProcessId &To, const ClaimMessage &Message) override;
  void reportDecision(SendId Id, const ClaimDecision &Decision) override;
  void dropAnswer(AnswerId Id) override;
  void proposeHomes(const HomeSet &Next) override;
  bool hasEnded(const ProcessId &Process) const override;

  ServiceName Service;
  ClaimListener &Listener;
  Actions &Out;
  const MemberDirectory &Members;
  const Clock &Time;
  ProcessId Self;
  std::unique_ptr<Roles> CurrentRoles;
};

} // namespace camphorpin::detail

#endif
