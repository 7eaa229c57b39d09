/// \file
/// \brief What a node of the test world does. Part of ClaimsSimulation.h.
#ifndef CAMPHORPIN_TESTS_SIMULATEDNODE_H
#define CAMPHORPIN_TESTS_SIMULATEDNODE_H

#include "ClaimsSimulation.h"

namespace camphorpin::test {

inline SimulatedNode::SimulatedNode(ClaimsSimulation &Owner, std::size_t Slot,
                                    const ProcessId &Self, Duration Skew)
    : Owner(Owner), Slot(Slot), Self(Self), Time(Owner.Time, Skew),
      Home(Self, Owner.Options, *this, *this, Time),
      Mirror(Self, Owner.Options, *this, Time),
      Proposer(Self, Owner.ProposerOptions, Owner.Options, *this, *this) {}

inline void SimulatedNode::sendClaim(const ProcessId &To,
                                     const ClaimMessage &Message) {
  ++Owner.MessageCount;
  Owner.Network.push_back({To, Message});
}

inline void SimulatedNode::decided(SendId Id, const ClaimDecision &Decision) {
  const RequestKey Key = Owner.Oracle.send(Id).Key;
  switch (Decision.Outcome) {
  case ClaimOutcome::Run:
    AllowedRuns.push_back(Id);
    return;
  case ClaimOutcome::Join:
    Joined[Key].push_back(Id);
    return;
  case ClaimOutcome::Answer:
    Owner.Oracle.recordVerdict(Id, Verdict::Ran);
    return;
  case ClaimOutcome::Refuse:
    Owner.Oracle.recordVerdict(Id, Decision.Verdict);
    answerJoined(Key, Decision.Verdict, false);
    return;
  }
}

inline void SimulatedNode::answerJoined(const RequestKey &Key, Verdict Value,
                                        bool ByHome) {
  const auto Found = Joined.find(Key);
  if (Found == Joined.end())
    return;
  for (const SendId Id : Found->second) {
    const bool Unsure = Value == Verdict::NotRun && !ByHome;
    Owner.Oracle.recordVerdict(
        Id, Unsure ? ClaimHome::refusalVerdict(Owner.Oracle.send(Id).First)
                   : Value);
  }
  Joined.erase(Found);
}

inline void SimulatedNode::proposeHomes(const HomeSet &Next) {
  Owner.append(Next);
}

inline bool SimulatedNode::hasEnded(const ProcessId &Process) const {
  const auto Found = Owner.Ended.find(Process);
  // The news takes a different time to each node.
  return Found != Owner.Ended.end() &&
         Owner.Time.now() - Found->second >=
             Duration::seconds(static_cast<std::int64_t>(Slot) * 3);
}

inline void SimulatedNode::onSend(SendId Id, Epoch SenderEpoch) {
  const Send &Value = Owner.Oracle.send(Id);
  const HomeAssignment *Owned = Home.homes().homeOf(Value.Key);
  const bool Here = Owned != nullptr && Owned->Process == Self;
  const bool Expired =
      Time.wallNow() - Value.Key.createdAt() >= Owner.Options.KeyRetention;
  if (Owner.Kind == Protection::HomeOnly) {
    // Baseline: the home remembers its keys, and nobody else does.
    const bool Runs = Here && !Expired && BaselineKeys.insert(Value.Key).second;
    if (Runs)
      AllowedRuns.push_back(Id);
    else
      Owner.Oracle.recordVerdict(Id, ClaimHome::refusalVerdict(Value.First));
    return;
  }
  Home.onSend({Id, Value.Key, Value.First, SenderEpoch,
               Time.now() + Duration::seconds(3)});
}

inline void SimulatedNode::onMessage(const ClaimMessage &Message) {
  std::visit(
      [this](const auto &Value) {
        using Type = std::decay_t<decltype(Value)>;
        if constexpr (std::is_same_v<Type, ResolveRequest>) {
          Mirror.onMessage(Value);
          Home.onMessage(Value);
        } else if constexpr (requires { Mirror.onMessage(Value); }) {
          // Baseline: the mirror copies, but does not close epochs.
          if constexpr (std::is_same_v<Type, CopyClaim>) {
            if (Owner.Kind == Protection::NoFence) {
              CopyClaim Open = Value;
              Open.Epoch = ~Epoch(0);
              Mirror.onMessage(Open);
              return;
            }
          }
          Mirror.onMessage(Value);
        } else {
          Home.onMessage(Value);
        }
      },
      Message);
}

inline void SimulatedNode::runNext(std::uint32_t Choice) {
  if (AllowedRuns.empty())
    return;
  const SendId Id = AllowedRuns.front();
  AllowedRuns.pop_front();
  const RequestKey Key = Owner.Oracle.send(Id).Key;
  Verdict Value = Verdict::Ran;
  if (Choice % 4 == 0) {
    Home.release(Key);
    BaselineKeys.erase(Key);
    Value = Verdict::NotRun;
  } else {
    Owner.Oracle.recordRun(Id);
    if (Choice % 4 == 1) {
      Home.fail(Key);
      Value = Verdict::MayHaveRun;
    } else {
      Home.finish(Key, Id, 10);
    }
  }
  Owner.Oracle.recordVerdict(Id, Value);
  answerJoined(Key, Value, true);
}

inline void SimulatedNode::readLog() {
  if (Owner.LogDown || Lagging)
    return;
  if (!Owner.Log.empty()) {
    Home.adopt(Owner.Log.back());
    Mirror.adopt(Owner.Log.back());
    Proposer.onHomeSet(Owner.Log.back(), Time.now());
  }
  Home.onLogRead(Time.now());
}

inline void SimulatedNode::tick() {
  readLog();
  Home.tick();
  Mirror.tick();
  const std::vector<HomeMember> Members = Owner.members();
  Proposer.onMembers(Members);
  Proposer.tick(Time.now());
}

} // namespace camphorpin::test

#endif
