// A fleet of Membership objects that exchange datagrams in memory under a
// virtual clock. Datagrams are delivered in the next step, replies within the
// same one, and a predicate can drop them.
#ifndef CAMPHORPIN_TESTS_GOSSIPFLEET_H
#define CAMPHORPIN_TESTS_GOSSIPFLEET_H

#include "camphorpin/Membership.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace camphorpin::test {

class GossipFleet {
public:
  struct Node final : MembershipActions {
    Node(GossipFleet &Fleet, const MemberRecord &Self, std::uint64_t Seed)
        : Fleet(Fleet), Source(Seed),
          Protocol(Self, Fleet.Settings, Source, *this) {}

    void sendGossip(HostAddress To, const GossipMessage &Message) override {
      SentBytes += Message.encodedSize();
      Fleet.enqueue(Protocol.self().Process.Address, To, Message);
    }
    void acknowledged(HostAddress, const LogReading &, Instant) override {}
    void memberChanged(const MemberRecord &Record) override {
      if (Record.State == MemberState::Dead)
        ++DeathsSeen;
    }
    void zoneChanged(const ZoneName &, bool) override { ++ZoneChanges; }
    void selfRenewed(const ProcessId &) override { ++Renewals; }

    GossipFleet &Fleet;
    SeededRandom Source;
    Membership Protocol;
    bool Killed = false;
    bool Paused = false;
    std::size_t SentBytes = 0;
    std::size_t DeathsSeen = 0;
    std::size_t ZoneChanges = 0;
    std::size_t Renewals = 0;
  };

  static constexpr Duration Step = Duration::millis(100);

  static HostAddress address(std::size_t Index) {
    return HostAddress{static_cast<std::uint32_t>(0x0A000000 + Index), 7000};
  }

  static MemberRecord record(std::size_t Index, std::size_t Zones,
                             std::uint64_t Incarnation = 1) {
    const std::size_t Zone = Index % Zones;
    return MemberRecord{ProcessId{address(Index), Incarnation},
                        ServiceName("service-" + std::to_string(Index % 31)),
                        ZoneName("zone-" + std::to_string(Zone)),
                        RegionName("region-" + std::to_string(Zone / 3))};
  }

  /// Starts \p Count more nodes that join through the first node.
  void start(std::size_t Count, std::size_t Zones) {
    const HostAddress Entry = address(0);
    for (std::size_t Added = 0; Added < Count; ++Added) {
      const std::size_t Index = Nodes.size();
      Nodes.push_back(
          std::make_unique<Node>(*this, record(Index, Zones), Index + 1));
      ByAddress[address(Index)] = Nodes.back().get();
      Nodes.back()->Protocol.join(std::span(&Entry, 1), Now);
    }
  }

  /// Starts \p Count nodes that know each other already, runs the fleet for
  /// 60 s and resets SentBytes.
  void startJoined(std::size_t Count, std::size_t Zones) {
    start(Count, Zones);
    GossipMessage All;
    All.Kind = GossipKind::SyncRecords;
    for (std::size_t Index = 0; Index < Count; ++Index)
      All.Deltas.push_back(record(Index, Zones));
    for (std::unique_ptr<Node> &Member : Nodes)
      Member->Protocol.onGossip(address(Count + 1), All, Now);
    run(Duration::seconds(60));
    for (std::unique_ptr<Node> &Member : Nodes)
      Member->SentBytes = 0;
  }

  /// Replaces the node at \p Index by a process with the given incarnation.
  void restart(std::size_t Index, std::size_t Zones,
               std::uint64_t Incarnation) {
    const HostAddress Entry = address(Index == 0 ? 1 : 0);
    Nodes[Index] = std::make_unique<Node>(
        *this, record(Index, Zones, Incarnation), Index + Incarnation);
    ByAddress[address(Index)] = Nodes[Index].get();
    Nodes[Index]->Protocol.join(std::span(&Entry, 1), Now);
  }

  void run(Duration Span) {
    const Instant End = Now + Span;
    while (Now < End) {
      Now = Now + Step;
      deliver();
      for (std::unique_ptr<Node> &Member : Nodes)
        if (!Member->Killed && !Member->Paused)
          Member->Protocol.tick(Now);
    }
  }

  /// \returns how many nodes that are not killed, paused ones included, have
  /// the node at \p Index in \p State.
  std::size_t countSeeing(std::size_t Index, MemberState State) const {
    std::size_t Count = 0;
    for (const std::unique_ptr<Node> &Member : Nodes) {
      const MemberRecord *Seen = Member->Protocol.table().find(address(Index));
      if (!Member->Killed && Seen != nullptr && Seen->State == State)
        ++Count;
    }
    return Count;
  }

  std::size_t total(std::size_t Node::*Counter) const {
    std::size_t Sum = 0;
    for (const std::unique_ptr<Node> &Member : Nodes)
      Sum += (*Member).*Counter;
    return Sum;
  }

  Node &node(std::size_t Index) { return *Nodes.at(Index); }
  std::size_t size() const { return Nodes.size(); }

  MembershipSettings Settings;
  /// Returns true for datagrams that are lost.
  std::function<bool(HostAddress From, HostAddress To)> IsLost =
      [](HostAddress, HostAddress) { return false; };
  Instant Now;

private:
  struct Datagram {
    HostAddress From;
    HostAddress To;
    GossipMessage Message;
  };

  void enqueue(HostAddress From, HostAddress To, const GossipMessage &Message) {
    if (!IsLost(From, To))
      InFlight.push_back({From, To, Message});
  }

  void deliver() {
    // A reply is delivered in the next round. All rounds of a step have the
    // same virtual time.
    constexpr int RoundsPerStep = 4;
    for (int Round = 0; Round < RoundsPerStep; ++Round) {
      std::vector<Datagram> Arriving;
      Arriving.swap(InFlight);
      for (const Datagram &Arrived : Arriving) {
        const auto Found = ByAddress.find(Arrived.To);
        if (Found != ByAddress.end() && !Found->second->Killed &&
            !Found->second->Paused)
          Found->second->Protocol.onGossip(Arrived.From, Arrived.Message, Now);
      }
    }
  }

  std::vector<std::unique_ptr<Node>> Nodes;
  std::map<HostAddress, Node *> ByAddress;
  std::vector<Datagram> InFlight;
};

} // namespace camphorpin::test

#endif
