#ifndef CAMPHORPIN_SRC_ENGINE_CLAIMMANAGER_H
#define CAMPHORPIN_SRC_ENGINE_CLAIMMANAGER_H

#include "camphorpin/Claims.h"
#include "camphorpin/Policy.h"
#include "camphorpin/src/Engine/Actions.h"
#include "camphorpin/src/Engine/MemberDirectory.h"

#include <memory>

namespace camphorpin::detail {

/// \class ClaimListener
/// \brief Takes the decisions about keyed calls.
class ClaimListener {
public:
  virtual ~ClaimListener() = default;

  virtual void claimDecided(RequestId Id, const ClaimDecision &Decision) = 0;
};

/// \class ClaimManager
/// \brief The claims of this node: as a home, as a mirror of other homes, and
/// as one of those who propose changes of the home set.
class ClaimManager final : private ClaimActions,
                           private HomeSetActions,
                           private ProcessExitDetector {
public:
  /// \param Listener, Out, Members and Time must outlive the gate.
  ClaimManager(const ServiceName &Service, ClaimListener &Listener,
               Actions &Out, const MemberDirectory &Members, const Clock &Time);

  /// Takes over the limits of the policy. Before the first call, and after the
  /// node has got another identity, the gate starts without knowledge.
  void start(const ProcessId &Self, const ClaimOptions &Options);

  void send(RequestId Id, const RequestContext &Context, Instant Deadline);
  void finish(const RequestKey &Key, RequestId Run, std::uint64_t Bytes);
  void fail(const RequestKey &Key) { CurrentRoles->Home.fail(Key); }
  void release(const RequestKey &Key) { CurrentRoles->Home.release(Key); }

  void adopt(const HomeSet &Set);
  void onLogRead(Instant SentAt) { CurrentRoles->Home.onLogRead(SentAt); }
  void onMessage(const ProcessId &To, const ClaimMessage &Message);

  /// Tells who of the service is there. To be called each second.
  void updateMembers();
  void tick(Instant Now);

  /// \returns true if the node may exit without loss of knowledge.
  bool mayLeave() const { return CurrentRoles->Home.mayLeave(); }

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
