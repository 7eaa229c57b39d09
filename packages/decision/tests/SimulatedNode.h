/// \file
/// \brief Implementation of SimulatedNode, included by ClaimsSimulation.h.
#ifndef CAMPHORPIN_TESTS_SIMULATEDNODE_H
#define CAMPHORPIN_TESTS_SIMULATEDNODE_H

#include "ClaimsSimulation.h"

namespace camphorpin::test {

inline SimulatedNode::SimulatedNode(ClaimsSimulation &Simulation,
                                    std::size_t Slot, const ProcessId &Self,
                                    Duration Skew)
    : Simulation(Simulation), Slot(Slot), Self(Self),
      Time(Simulation.Time, Skew),
      Home(Self, Simulation.Options, *this, *this, Time),
      Mirror(Self, Simulation.Options, *this, Time),
      Proposer(Self, Simulation.ProposerOptions, Simulation.Options, *this,
               *this) {}

inline void SimulatedNode::sendClaim(const ProcessId &To,
                                     const ClaimMessage &Message) {
  ++Simulation.MessageCount;
  Simulation.Network.push_back({To, Message});
}

inline void SimulatedNode::reportDecision(SendId Id,
                                          const ClaimDecision &Decision) {
  const RequestKey Key = Simulation.Oracle.send(Id).Key;
  switch (Decision.Outcome) {
  case ClaimOutcome::Run:
    AllowedRuns.push_back(Id);
    return;
  case ClaimOutcome::Join:
    Joined[Key].push_back(Id);
    return;
  case ClaimOutcome::Answer:
    Simulation.Oracle.recordVerdict(Id, Verdict::Ran);
    return;
  case ClaimOutcome::Refuse:
    Simulation.Oracle.recordVerdict(Id, Decision.Verdict);
    answerJoined(Key, Decision.Verdict, false);
    return;
  }
}

inline void SimulatedNode::answerJoined(const RequestKey &Key, Verdict Reported,
                                        bool RunWasAllowed) {
  const auto Found = Joined.find(Key);
  if (Found == Joined.end())
    return;
  for (const SendId Id : Found->second) {
    const bool HistoryUnknown = Reported == Verdict::NotRun && !RunWasAllowed;
    Simulation.Oracle.recordVerdict(
        Id, HistoryUnknown
                ? ClaimHome::refusalVerdict(Simulation.Oracle.send(Id).First)
                : Reported);
  }
  Joined.erase(Found);
}

inline void SimulatedNode::proposeHomes(const HomeSet &Next) {
  Simulation.append(Next);
}

inline bool SimulatedNode::hasEnded(const ProcessId &Process) const {
  const auto Found = Simulation.Ended.find(Process);
  // Each node learns of the end after a different delay.
  return Found != Simulation.Ended.end() &&
         Simulation.Time.now() - Found->second >=
             Duration::seconds(static_cast<std::int64_t>(Slot) * 3);
}

inline void SimulatedNode::onRequest(SendId Id, Epoch SenderEpoch) {
  const Send &Sent = Simulation.Oracle.send(Id);
  const HomeAssignment *KeyHome = Home.homes().homeOf(Sent.Key);
  const bool IsHome = KeyHome != nullptr && KeyHome->Process == Self;
  const bool Expired =
      Time.wallNow() - Sent.Key.createdAt() >= Simulation.Options.KeyRetention;
  if (Simulation.Mode == Protection::HomeOnly) {
    const bool Runs =
        IsHome && !Expired && BaselineKeys.insert(Sent.Key).second;
    if (Runs)
      AllowedRuns.push_back(Id);
    else
      Simulation.Oracle.recordVerdict(Id,
                                      ClaimHome::refusalVerdict(Sent.First));
    return;
  }
  Home.onRequest({Id, Sent.Key, Sent.First, SenderEpoch,
                  Time.now() + Duration::seconds(3)});
}

inline void SimulatedNode::onMessage(const ClaimMessage &Message) {
  std::visit(
      [this](const auto &Received) {
        using Type = std::decay_t<decltype(Received)>;
        if constexpr (std::is_same_v<Type, ResolveRequest>) {
          Mirror.onMessage(Received);
          Home.onMessage(Received);
        } else if constexpr (requires { Mirror.onMessage(Received); }) {
          // Baseline: the copies get the highest epoch, so that the mirror
          // never rejects them because of a fence.
          if constexpr (std::is_same_v<Type, CopyClaim>) {
            if (Simulation.Mode == Protection::NoFence) {
              CopyClaim Unfenced = Received;
              Unfenced.Epoch = ~Epoch(0);
              Mirror.onMessage(Unfenced);
              return;
            }
          }
          Mirror.onMessage(Received);
        } else {
          Home.onMessage(Received);
        }
      },
      Message);
}

inline void SimulatedNode::runNext(std::uint32_t Choice) {
  if (AllowedRuns.empty())
    return;
  const SendId Id = AllowedRuns.front();
  AllowedRuns.pop_front();
  const RequestKey Key = Simulation.Oracle.send(Id).Key;
  Verdict Reported = Verdict::Ran;
  if (Choice % 4 == 0) {
    Home.release(Key);
    BaselineKeys.erase(Key);
    Reported = Verdict::NotRun;
  } else {
    Simulation.Oracle.recordRun(Id);
    if (Choice % 4 == 1) {
      Home.fail(Key);
      Reported = Verdict::MayHaveRun;
    } else {
      Home.finish(Key, Id, 10);
    }
  }
  Simulation.Oracle.recordVerdict(Id, Reported);
  answerJoined(Key, Reported, true);
}

inline void SimulatedNode::readLog() {
  if (Simulation.LogDown || Lagging)
    return;
  if (!Simulation.Log.empty()) {
    Home.adopt(Simulation.Log.back());
    Mirror.adopt(Simulation.Log.back());
    Proposer.onHomeSet(Simulation.Log.back(), Time.now());
  }
  Home.onLogRead(Time.now());
}

inline void SimulatedNode::tick() {
  readLog();
  Home.tick();
  Mirror.tick();
  const std::vector<HomeMember> Members = Simulation.members();
  Proposer.onMembers(Members);
  Proposer.tick(Time.now());
}

} // namespace camphorpin::test

#endif
