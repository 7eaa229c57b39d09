/// \file
/// \brief Simulates in virtual time a service of a few nodes with claims, a log
/// and a network that loses, duplicates and reorders messages. An oracle checks
/// the runs and verdicts.
#ifndef CAMPHORPIN_TESTS_CLAIMSSIMULATION_H
#define CAMPHORPIN_TESTS_CLAIMSSIMULATION_H

#include "ExecutionOracle.h"
#include "camphorpin/Claims.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace camphorpin::test {

/// \brief The protection against repeated runs. HomeOnly and NoFence are
/// baselines that lack a part of the protocol.
enum class Protection {
  /// The complete protocol.
  Full,
  /// Only the home stores its keys: no mirrors, and no transfer to new homes.
  HomeOnly,
  /// The mirrors store copies, but do not fence the homes in past epochs.
  NoFence,
};

/// \class SkewedClock
/// \brief The clock of a host whose wall clock differs by a skew.
class SkewedClock final : public Clock {
public:
  SkewedClock(const ManualClock &Base, Duration Skew)
      : Base(Base), Skew(Skew) {}
  Instant now() const override { return Base.now(); }
  Instant wallNow() const override { return Base.wallNow() + Skew; }

  void adjust(Duration Span) { Skew += Span; }

private:
  const ManualClock &Base;
  Duration Skew;
};

class ClaimsSimulation;

/// \class SimulatedNode
/// \brief One incarnation of a node. Its slot determines address and zone.
class SimulatedNode final : public ClaimActions,
                            public HomeSetActions,
                            public ProcessExitDetector {
public:
  SimulatedNode(ClaimsSimulation &Simulation, std::size_t Slot,
                const ProcessId &Self, Duration Skew);

  void sendClaim(const ProcessId &To, const ClaimMessage &Message) override;
  void reportDecision(SendId Id, const ClaimDecision &Decision) override;
  void dropAnswer(AnswerId) override {}
  void proposeHomes(const HomeSet &Next) override;
  bool hasEnded(const ProcessId &Process) const override;

  void onRequest(SendId Id, Epoch SenderEpoch);
  void onMessage(const ClaimMessage &Message);
  /// Runs the oldest allowed send to its end. \p Choice modulo 4 selects the
  /// outcome: 0 releases the claim without a run, 1 runs the key and reports a
  /// failure, 2 and 3 run it to completion.
  void runNext(std::uint32_t Choice);
  /// Reports the verdict to the sends that joined the one with \p Key.
  /// \param RunWasAllowed false if that send was refused before it could run.
  void answerJoined(const RequestKey &Key, Verdict Reported,
                    bool RunWasAllowed);
  void readLog();
  void tick();

  ClaimsSimulation &Simulation;
  std::size_t Slot;
  ProcessId Self;
  SkewedClock Time;
  ClaimHome Home;
  ClaimMirror Mirror;
  HomeSetProposer Proposer;
  bool Leaving = false;
  /// The node does not read the log.
  bool Lagging = false;
  std::deque<SendId> AllowedRuns;
  std::map<RequestKey, std::vector<SendId>> Joined;
  /// The keys that this node has run or may still run; used by
  /// Protection::HomeOnly.
  std::set<RequestKey> BaselineKeys;
};

/// \class ClaimsSimulation
/// \brief The nodes, the network and the log.
class ClaimsSimulation {
public:
  /// The number of slots for nodes. As the target of sendRequest() it stands
  /// for the home of the key.
  static constexpr std::size_t SlotCount = 5;
  static constexpr std::int64_t WallOrigin = 1780000000000;

  /// \param Zones the number of availability zones. 0 places all nodes on one
  /// host, so that homes have no mirrors.
  ClaimsSimulation(Protection Mode, std::size_t Zones);

  /// Executes the action that the random number \p Command encodes.
  void apply(std::uint32_t Command);

  /// Ends all failures and advances the time by \p Span.
  /// \returns the share of new keys that run afterwards.
  double recover(Duration Span);

  ClaimOptions Options;
  HomeSetProposerOptions ProposerOptions;
  Protection Mode;
  std::size_t Zones;
  ManualClock Time{Instant::fromMillis(WallOrigin)};
  SeededRandom Random{1};
  ExecutionOracle Oracle;
  /// The first of the 64 kinds of commands that is a fault.
  std::uint32_t FirstFaultCommand = 57;
  std::size_t MessageCount = 0;
  std::size_t RecordCount = 0;

  /// A claim message, or a send if Message is not set.
  struct Packet {
    ProcessId To;
    std::optional<ClaimMessage> Message;
    SendId Id = 0;
    Epoch SenderEpoch = 0;
  };
  std::vector<Packet> Network;
  std::vector<HomeSet> Log;
  bool LogDown = false;
  std::vector<std::unique_ptr<SimulatedNode>> Nodes;
  /// Nodes that are suspended; messages to them are held back.
  std::vector<bool> Suspended;
  std::vector<Instant> SuspendedSince;
  std::map<ProcessId, Instant> Ended;
  std::vector<RequestKey> Keys;

  /// Advances the time in steps and ticks the nodes after each. Packets are
  /// delivered only if \p Span is longer than 200 ms.
  void advance(Duration Span);
  /// Delivers one packet, or drops it if its receiver does not exist. Packets
  /// to a suspended node stay in the network.
  void deliver(std::size_t Index);
  /// Delivers all packets, including those that are sent meanwhile, except to
  /// suspended nodes.
  void deliverAll();
  HostAddress address(std::size_t Slot) const {
    const std::uint32_t Number = static_cast<std::uint32_t>(Slot) + 1;
    return Zones > 0
               ? HostAddress{Number, 7000}
               : HostAddress{1, static_cast<std::uint16_t>(7000 + Number)};
  }
  bool isRunning(std::size_t Slot) const {
    return Nodes[Slot] && !Suspended[Slot];
  }
  void start(std::size_t Slot);
  void stop(std::size_t Slot);
  /// Sends \p Key from the node in slot \p Sender to the one in slot \p Target,
  /// or to the home of the key if no node runs there.
  void sendRequest(const RequestKey &Key, std::size_t Sender,
                   std::size_t Target);
  void append(const HomeSet &Next);
  std::vector<HomeMember> members() const;

private:
  void tickNodes();
  void applyFault(std::uint32_t Kind, std::size_t Slot);
  void applyNetworkCommand(std::uint32_t Kind, std::size_t Index);
  void applyTimeCommand(std::uint32_t Kind, std::uint32_t Rest);
  std::uint64_t Incarnation = 100;
};

inline ClaimsSimulation::ClaimsSimulation(Protection Mode, std::size_t Zones)
    : Mode(Mode), Zones(Zones), Nodes(SlotCount), Suspended(SlotCount),
      SuspendedSince(SlotCount) {
  Options.KeyRetention = Duration::seconds(120);
  Options.LogSilenceBound = Duration::seconds(60);
  Options.PageEntries = 3;
  ProposerOptions.StaggerDelay = Duration::seconds(1);
  for (std::size_t Slot = 0; Slot + 1 < SlotCount; ++Slot)
    start(Slot);
  advance(Duration::seconds(30));
}

inline void ClaimsSimulation::start(std::size_t Slot) {
  const HostAddress Address = address(Slot);
  // The wall clocks differ by up to 5 s.
  const Duration Skew =
      Duration::millis(static_cast<std::int64_t>(Slot) * 1250 - 2500);
  Nodes[Slot] = std::make_unique<SimulatedNode>(
      *this, Slot, ProcessId{Address, ++Incarnation}, Skew);
  Suspended[Slot] = false;
}

inline void ClaimsSimulation::stop(std::size_t Slot) {
  if (!Nodes[Slot])
    return;
  // The end of a process is certain only after an announced exit, or once a new
  // incarnation is observed at its address.
  if (Nodes[Slot]->Leaving)
    Ended[Nodes[Slot]->Self] = Time.now();
  Nodes[Slot].reset();
  Suspended[Slot] = false;
}

inline std::vector<HomeMember> ClaimsSimulation::members() const {
  std::vector<HomeMember> Result;
  for (std::size_t Slot = 0; Slot < SlotCount; ++Slot) {
    const HostAddress Address = address(Slot);
    const ZoneName Zone("z" + std::to_string(Zones > 0 ? Slot % Zones : 0));
    if (!Nodes[Slot]) {
      for (const HomeAssignment &Home :
           Log.empty() ? std::span<const HomeAssignment>() : Log.back().homes())
        if (Home.Process.Address == Address)
          Result.push_back({Home.Process, Zone, HomeMemberState::Dead});
      continue;
    }
    const bool Dead = Suspended[Slot] &&
                      Time.now() - SuspendedSince[Slot] > Duration::seconds(8);
    const HomeMemberState State = Nodes[Slot]->Leaving
                                      ? HomeMemberState::Leaving
                                      : HomeMemberState::Alive;
    Result.push_back(
        {Nodes[Slot]->Self, Zone, Dead ? HomeMemberState::Dead : State});
  }
  return Result;
}

inline void ClaimsSimulation::append(const HomeSet &Next) {
  const Epoch Current = Log.empty() ? 0 : Log.back().epoch();
  if (LogDown || Next.epoch() != Current + 1)
    return;
  const std::optional<HomeSet> Read = HomeSet::parse(Next.toJson());
  assert(Read && *Read == Next && "the document must survive a round trip");
  Log.push_back(*Read);
  ++RecordCount;
}

inline void ClaimsSimulation::deliver(std::size_t Index) {
  const Packet Delivered = Network[Index];
  for (std::size_t Slot = 0; Slot < SlotCount; ++Slot) {
    if (!Nodes[Slot] || Nodes[Slot]->Self != Delivered.To)
      continue;
    if (Suspended[Slot])
      return;
    Network.erase(Network.begin() + static_cast<std::ptrdiff_t>(Index));
    if (Delivered.Message)
      Nodes[Slot]->onMessage(*Delivered.Message);
    else
      Nodes[Slot]->onRequest(Delivered.Id, Delivered.SenderEpoch);
    return;
  }
  Network.erase(Network.begin() + static_cast<std::ptrdiff_t>(Index));
}

inline void ClaimsSimulation::deliverAll() {
  std::size_t Index = 0;
  for (int Round = 0; Index < Network.size() && Round < 5000; ++Round) {
    const std::size_t Before = Network.size();
    const ProcessId To = Network[Index].To;
    deliver(Index);
    // The receiver is suspended; skip the packet.
    if (Network.size() == Before && Network[Index].To == To)
      ++Index;
  }
}

inline void ClaimsSimulation::tickNodes() {
  for (std::size_t Slot = 0; Slot < SlotCount; ++Slot) {
    if (!isRunning(Slot))
      continue;
    Nodes[Slot]->tick();
    if (Nodes[Slot]->Leaving && Nodes[Slot]->Home.mayLeave() &&
        Nodes[Slot]->AllowedRuns.empty())
      stop(Slot);
  }
}

inline void ClaimsSimulation::advance(Duration Span) {
  const Instant End = Time.now() + Span;
  while (Time.now() < End) {
    Time.advanceTo(
        std::min(End, Time.now() + std::max(Duration::millis(200), Span / 40)));
    tickNodes();
    if (Span > Duration::millis(200))
      deliverAll();
  }
}

inline void ClaimsSimulation::sendRequest(const RequestKey &Key,
                                          std::size_t Sender,
                                          std::size_t Target) {
  const SendId Id = Oracle.recordSend(Key);
  const HomeSet &Known = Nodes[Sender]->Home.homes();
  const HomeAssignment *Owner = Known.homeOf(Key);
  if (Target < SlotCount && Nodes[Target])
    Network.push_back({Nodes[Target]->Self, std::nullopt, Id, Known.epoch()});
  else if (Owner != nullptr)
    Network.push_back({Owner->Process, std::nullopt, Id, Known.epoch()});
}

inline void ClaimsSimulation::applyFault(std::uint32_t Kind, std::size_t Slot) {
  switch (Kind) {
  case 0:
  case 1: // Kills the node.
    stop(Slot);
    break;
  case 2:
  case 3: // Starts a node in an empty slot.
  case 4: // As 2 and 3; a node that is running restarts.
    if (!Nodes[Slot])
      start(Slot);
    else if (Kind == 4) {
      Ended[Nodes[Slot]->Self] = Time.now();
      start(Slot);
    }
    for (const HomeSet &Set : Log)
      for (const HomeAssignment &Home : Set.homes())
        if (Home.Process.Address == Nodes[Slot]->Self.Address &&
            Home.Process != Nodes[Slot]->Self)
          Ended.emplace(Home.Process, Time.now());
    break;
  case 5:
  case 6: // Suspends the node.
    if (Nodes[Slot] && !Suspended[Slot]) {
      Suspended[Slot] = true;
      SuspendedSince[Slot] = Time.now();
    }
    break;
  case 7:
  case 8: // Resumes the node.
    Suspended[Slot] = false;
    break;
  case 9: // The node starts to leave.
    if (Nodes[Slot])
      Nodes[Slot]->Leaving = true;
    break;
  case 10: // Starts or ends a log outage.
    LogDown = !LogDown;
    break;
  default: // The node stops or resumes reading the log.
    if (Nodes[Slot])
      Nodes[Slot]->Lagging = !Nodes[Slot]->Lagging;
    break;
  }
}

inline void ClaimsSimulation::apply(std::uint32_t Command) {
  const std::uint32_t Kind = Command % 64;
  const std::uint32_t Argument = Command / 64;
  const std::size_t Slot = Argument % SlotCount;
  const std::uint32_t Rest = Argument / SlotCount;
  const std::size_t PacketIndex = Network.empty() ? 0 : Rest % Network.size();
  if (Kind < 10) { // Sends a new key.
    if (!Nodes[Slot])
      return;
    // The clocks of some callers are further ahead than a home accepts.
    const Duration Ahead = Duration::seconds(Rest % 8 == 0 ? 15 : 0);
    const Duration Skew =
        Ahead + Duration::millis(Rest % 5000) - Duration::millis(2500);
    Keys.push_back(RequestKey::make(Time.wallNow() + Skew, Random));
    sendRequest(Keys.back(), Slot, SlotCount);
    // Two nodes with possibly different home sets send the key concurrently.
    const std::size_t Second = (Slot + 1 + Rest % 4) % SlotCount;
    if (Nodes[Second])
      sendRequest(Keys.back(), Second, SlotCount);
  } else if (Kind < 20) { // Sends one of the last 8 keys again.
    if (!Nodes[Slot] || Keys.empty())
      return;
    const std::size_t Recent = std::min<std::size_t>(Keys.size(), 8);
    const RequestKey Key = Keys[Keys.size() - 1 - Rest % Recent];
    sendRequest(Key, Slot,
                Rest / 8 % 4 == 0 ? Rest / 32 % SlotCount : SlotCount);
  } else if (Kind < 34) { // Delivers, drops or duplicates packets.
    if (!Network.empty())
      applyNetworkCommand(Kind, PacketIndex);
  } else if (Kind < 44) { // Runs a request.
    if (isRunning(Slot))
      Nodes[Slot]->runNext(Rest);
  } else if (Kind < FirstFaultCommand) { // Advances the time.
    applyTimeCommand(Kind, Rest);
  } else {
    applyFault(Rest % 14, Slot);
  }
}

inline void ClaimsSimulation::applyNetworkCommand(std::uint32_t Kind,
                                                  std::size_t Index) {
  if (Kind < 24)
    deliver(Index);
  else if (Kind == 24)
    Network.erase(Network.begin() + static_cast<std::ptrdiff_t>(Index));
  else if (Kind == 25 && Network[Index].Message)
    // Only messages are duplicated: a connection does not duplicate calls, and
    // a caller that repeats a call issues a new send.
    Network.push_back(Packet(Network[Index]));
  else
    deliverAll();
}

inline void ClaimsSimulation::applyTimeCommand(std::uint32_t Kind,
                                               std::uint32_t Rest) {
  if (Kind < 48)
    advance(Duration::millis(200));
  else if (Kind < 53)
    advance(Duration::seconds(1));
  else if (Kind < 56)
    advance(Duration::seconds(5));
  else
    advance(Duration::seconds(Rest % 4 == 0 ? 65 : 20));
}

inline double ClaimsSimulation::recover(Duration Span) {
  LogDown = false;
  for (std::size_t Slot = 0; Slot < SlotCount; ++Slot) {
    // A leave that an operator has requested is completed, not cancelled.
    if (Nodes[Slot] && Nodes[Slot]->Leaving)
      stop(Slot);
    applyFault(2, Slot);
    Suspended[Slot] = false;
    Nodes[Slot]->Lagging = false;
  }
  for (Duration Passed; Passed < Span; Passed += Duration::millis(500)) {
    advance(Duration::millis(500));
    for (std::size_t Slot = 0; Slot < SlotCount; ++Slot)
      while (Nodes[Slot] && !Nodes[Slot]->AllowedRuns.empty())
        Nodes[Slot]->runNext(2);
  }
  constexpr std::size_t Probes = 10;
  std::size_t Ran = 0;
  for (std::size_t Probe = 0; Probe < Probes; ++Probe) {
    const RequestKey Key = RequestKey::make(Time.wallNow(), Random);
    sendRequest(Key, Probe % SlotCount, SlotCount);
    advance(Duration::millis(500));
    for (std::size_t Slot = 0; Slot < SlotCount; ++Slot)
      if (Nodes[Slot])
        Nodes[Slot]->runNext(2);
    Ran += Oracle.ran(Key);
  }
  return static_cast<double>(Ran) / Probes;
}

} // namespace camphorpin::test

#include "SimulatedNode.h"

#endif
