#include "camphorpin/src/Engine/ClaimManager.h"

#include "camphorpin/src/Engine/HomeSetRecord.h"

#include <type_traits>
#include <variant>
#include <vector>

namespace camphorpin::detail {

namespace {

HomeMemberState homeMemberState(MemberState Value) {
  if (Value == MemberState::Leaving)
    return HomeMemberState::Leaving;
  const bool Ended = Value == MemberState::Dead || Value == MemberState::Left;
  return Ended ? HomeMemberState::Dead : HomeMemberState::Alive;
}

} // namespace

ClaimManager::Roles::Roles(const ProcessId &Self, const ClaimOptions &Options,
                           ClaimManager &Owner)
    : Home(Self, Options, Owner, Owner, Owner.Time),
      Mirror(Self, Options, Owner, Owner.Time),
      Proposer(Self, HomeSetProposerOptions(), Options, Owner, Owner) {}

ClaimManager::ClaimManager(const ServiceName &Service, ClaimListener &Listener,
                           Actions &Out, const MemberDirectory &Members,
                           const Clock &Time)
    : Service(Service), Listener(Listener), Out(Out), Members(Members),
      Time(Time) {}

void ClaimManager::start(const ProcessId &Self, const ClaimOptions &Options) {
  this->Self = Self;
  CurrentRoles = std::make_unique<Roles>(Self, Options, *this);
}

void ClaimManager::requestClaim(RequestId Id, const RequestContext &Context,
                                Instant Deadline) {
  CurrentRoles->Home.onRequest({.Id = static_cast<SendId>(Id),
                                .Key = Context.Key,
                                .FirstSend = Context.FirstSend,
                                .SenderEpoch = Context.HomeEpoch,
                                .Deadline = Deadline});
}

void ClaimManager::finish(const RequestKey &Key, RequestId Run,
                          std::uint64_t Bytes) {
  CurrentRoles->Home.finish(Key, static_cast<AnswerId>(Run), Bytes);
}

void ClaimManager::adopt(const HomeSet &Set) {
  // The mirror is fenced first, so that it accepts no message of an epoch that
  // this node, as a home, already considers over.
  CurrentRoles->Mirror.adopt(Set);
  CurrentRoles->Home.adopt(Set);
  CurrentRoles->Proposer.onHomeSet(Set, Time.now());
}

void ClaimManager::onMessage(const ProcessId &To, const ClaimMessage &Message) {
  if (To != Self)
    return;
  std::visit(
      [this](const auto &Value) {
        using Type = std::decay_t<decltype(Value)>;
        constexpr bool ForMirror = std::is_same_v<Type, CopyClaim> ||
                                   std::is_same_v<Type, ReleaseClaim> ||
                                   std::is_same_v<Type, SyncPage>;
        if constexpr (ForMirror) {
          CurrentRoles->Mirror.onMessage(Value);
        } else if constexpr (std::is_same_v<Type, ResolveRequest>) {
          if (Value.LinkSince == 0)
            CurrentRoles->Home.onMessage(Value);
          else
            CurrentRoles->Mirror.onMessage(Value);
        } else {
          CurrentRoles->Home.onMessage(Value);
        }
      },
      Message);
}

void ClaimManager::updateMembers() {
  std::vector<HomeMember> Result;
  const MemberTable &Table = Members.membership().table();
  for (const HostAddress &Address : Table.addresses()) {
    const MemberRecord *Record = Table.find(Address);
    if (Record->Service == Service)
      Result.push_back(
          {Record->Process, Record->Zone, homeMemberState(Record->State)});
  }
  CurrentRoles->Proposer.onMembers(Result);
}

void ClaimManager::tick(Instant Now) {
  CurrentRoles->Home.tick();
  CurrentRoles->Mirror.tick();
  CurrentRoles->Proposer.tick(Now);
}

void ClaimManager::sendClaim(const ProcessId &To, const ClaimMessage &Message) {
  Out.sendClaim(To, Message);
}

void ClaimManager::reportDecision(SendId Id, const ClaimDecision &Decision) {
  Listener.claimDecided(RequestId{Id}, Decision);
}

void ClaimManager::dropAnswer(AnswerId Id) { Out.dropAnswer(RequestId{Id}); }

void ClaimManager::proposeHomes(const HomeSet &Next) {
  Out.appendLog(formatHomeSetChange(Service, Self, Next));
}

bool ClaimManager::hasEnded(const ProcessId &Process) const {
  return Members.membership().table().isProvenEnded(Process);
}

} // namespace camphorpin::detail
