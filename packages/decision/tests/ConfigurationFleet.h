#ifndef CAMPHORPIN_TESTS_CONFIGURATIONFLEET_H
#define CAMPHORPIN_TESTS_CONFIGURATIONFLEET_H

#include "camphorpin/Configuration.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>

namespace camphorpin {

inline constexpr std::size_t Zones = 9;
inline constexpr std::size_t ContentBytes = 1200;
/// Size of a small message with the headers of IP and UDP or TCP.
inline constexpr std::size_t SmallMessageBytes = 80;

class Fleet;

/// \class Node
/// \brief One ConfigurationReplicator, connected to the message queue of the
/// fleet.
class Node final : public ConfigurationActions {
public:
  Node(Fleet &Cluster, const ConfigurationPeer &Self, Duration LogRetention);

  void readLog(std::uint64_t From, std::size_t Max) override;
  void appendLog(const std::string &Body) override;
  void announce(HostAddress To, const LogReading &Reading) override;
  void requestRecords(HostAddress To, const RecordsRequest &Request) override;
  void requestSnapshot(HostAddress To) override;
  void requestDigest(HostAddress To, const DigestRequest &Request) override;
  void documentChanged(const ConfigurationDocument &Document) override;
  void recordFolded(std::uint64_t, const RecordOutcome &) override {}
  void digestMismatch(HostAddress, HostAddress) override { ++Mismatches; }

  HostAddress Address;
  SeededRandom Source;
  ConfigurationReplicator Replicator;
  bool Alive = true;
  bool CorruptSnapshots = false;
  bool Reverted = false;
  std::size_t Mismatches = 0;
  std::uint64_t Version = 0;
  Instant ChangedAt;

private:
  Fleet &Cluster;
};

/// \class Fleet
/// \brief Nodes in one process under a virtual clock, connected by a message
/// queue with delay and loss, and a simulated platform log.
class Fleet final : public ConfigurationPeers {
public:
  explicit Fleet(std::size_t Size,
                 Duration LogRetention = Duration::seconds(24 * 3600))
      : LogRetention(LogRetention) {
    while (Nodes.size() < Size)
      add();
  }

  std::uint64_t version() const override { return Known.size(); }
  std::span<const ConfigurationPeer> peers() const override { return Known; }

  Node &add() {
    const std::uint32_t Index = static_cast<std::uint32_t>(Nodes.size());
    Known.push_back(
        {{Index, 1}, ZoneName("z" + std::to_string(Index % Zones))});
    Nodes.push_back(std::make_unique<Node>(*this, Known.back(), LogRetention));
    every(Index, Duration::millis(100),
          [this](Node &Self) { Self.Replicator.tick(Now); });
    every(Index, Duration::seconds(1), [this](Node &Self) { probe(Self); });
    return *Nodes.back();
  }

  void after(Duration Delay, std::function<void()> Event) {
    Queue.push({Now + Delay, ++Sequence, std::move(Event)});
  }

  /// Runs \p Event at another node after a delay of 1 to 60 ms.
  void send(HostAddress To, std::size_t Bytes, bool MayBeLost,
            const std::function<void(Node &)> &Event) {
    BytesSent += Bytes;
    if (MayBeLost && Source.uniform01() < Loss)
      return;
    after(Duration::millis(1) + Duration::millis(59) * Source.uniform01(),
          [this, To, Event] {
            if (Nodes[To.Ip]->Alive)
              Event(*Nodes[To.Ip]);
          });
  }

  void run(Duration Span) {
    const Instant End = Now + Span;
    while (!Queue.empty() && Queue.top().At <= End) {
      const Item Next = Queue.top();
      Queue.pop();
      Now = Next.At;
      Next.Event();
    }
    Now = End;
  }

  void append(std::string Body) {
    Log.push_back(std::move(Body));
    AppendedAt.push_back(Now);
  }

  /// Appends a change of the document "mesh".
  void publish() {
    append(formatRecord(ChangeRecord{
        DocumentName("mesh"), Published, "c" + std::to_string(Published), "op",
        R"({"a":")" + std::string(ContentBytes, 'x') + "\"}"}));
    ++Published;
  }

  LogReadResult read(std::uint64_t From, std::size_t Max) {
    while (FirstRetained < Log.size() &&
           Now - AppendedAt[FirstRetained] > LogRetention)
      ++FirstRetained;
    LogReadResult Result{FirstRetained, std::max(From, FirstRetained), {}};
    for (; Result.Next < Log.size() && Result.Records.size() < Max;
         ++Result.Next)
      Result.Records.push_back({Result.Next, Log[Result.Next]});
    return Result;
  }

  void noteRead() {
    ++LogReads;
    const std::int64_t Second = Now.wholeMillis() / 1000;
    ReadsInSecond = Second == ReadSecond ? ReadsInSecond + 1 : 1;
    ReadSecond = Second;
    MostReadsInASecond = std::max(MostReadsInASecond, ReadsInSecond);
  }

  /// Stops all nodes at once. New nodes do not know their addresses.
  void stopAllNodes() {
    for (const std::unique_ptr<Node> &Member : Nodes)
      Member->Alive = false;
    Known.clear();
  }

  /// \returns the time from \p Since until the last running node had the newest
  /// version, or nothing if one does not have it or has reverted a version.
  std::optional<Duration> inForceAfter(Instant Since) const {
    Duration Longest;
    for (const std::unique_ptr<Node> &Member : Nodes) {
      if (!Member->Alive)
        continue;
      if (Member->Version != Published || Member->Reverted)
        return std::nullopt;
      Longest = std::max(Longest, Member->ChangedAt - Since);
    }
    return Longest;
  }

  Duration LogRetention;
  std::vector<std::unique_ptr<Node>> Nodes;
  std::vector<std::string> Log;
  std::uint64_t FirstRetained = 0;
  std::uint64_t Published = 0;
  Instant Now;
  double Loss = 0.01;
  bool LogAvailable = true;
  /// Reads whose reply has more records fail, as replies with too many bytes
  /// do.
  std::size_t LargestReply = ConfigurationReplicator::MaxReadBatch;
  bool Announcements = true;
  bool ProbesCarryReadings = true;
  bool Restates = true;
  std::size_t LogReads = 0;
  /// The most reads of the log that began within one second.
  std::size_t MostReadsInASecond = 0;
  std::size_t BytesSent = 0;

private:
  struct Item {
    Instant At;
    std::uint64_t Sequence;
    std::function<void()> Event;
    bool operator<(const Item &Other) const {
      return At != Other.At ? At > Other.At : Sequence > Other.Sequence;
    }
  };

  /// Repeats \p Event at a node, with a random phase.
  void every(std::uint32_t Index, Duration Interval,
             const std::function<void(Node &)> &Event) {
    after(Interval * Source.uniform01(),
          [=, this] { repeat(Index, Interval, Event); });
  }

  void repeat(std::uint32_t Index, Duration Interval,
              const std::function<void(Node &)> &Event) {
    if (!Nodes[Index]->Alive)
      return;
    Event(*Nodes[Index]);
    after(Interval, [=, this] { repeat(Index, Interval, Event); });
  }

  /// Sends the readings that a probe and its acknowledgement carry. The probes
  /// themselves are part of membership.
  void probe(Node &Self) {
    if (!ProbesCarryReadings)
      return;
    const HostAddress From = Self.Address;
    const Instant SentAt = Now;
    const LogReading Reading = Self.Replicator.reading(Now);
    const HostAddress To = Known[Source.below(Known.size())].Address;
    send(To, sizeof(LogReading), true, [=, this](Node &Target) {
      Target.Replicator.onUnsolicitedReading(From, Reading, Now);
      const LogReading Answer = Target.Replicator.reading(Now);
      send(From, sizeof(LogReading), true, [=, this](Node &Requester) {
        Requester.Replicator.onReadingInReply(To, Answer, SentAt, Now);
      });
    });
  }

  SeededRandom Source{42};
  std::vector<ConfigurationPeer> Known;
  std::vector<Instant> AppendedAt;
  std::priority_queue<Item> Queue;
  std::uint64_t Sequence = 0;
  std::int64_t ReadSecond = 0;
  std::size_t ReadsInSecond = 0;
};

inline Node::Node(Fleet &Cluster, const ConfigurationPeer &Self,
                  Duration LogRetention)
    : Address(Self.Address), Source(Self.Address.Ip + 1),
      Replicator(Self, LogRetention, Cluster, Source, *this), Cluster(Cluster) {
}

inline void Node::readLog(std::uint64_t From, std::size_t Max) {
  constexpr Duration Latency = Duration::millis(20);
  Cluster.noteRead();
  Cluster.after(Latency, [this, From, Max] {
    if (!Alive)
      return;
    const LogReadResult Result = Cluster.read(From, Max);
    if (Cluster.LogAvailable && Result.Records.size() <= Cluster.LargestReply)
      Replicator.onLogRead(Result, Cluster.Now);
    else
      Replicator.onLogReadFailed(Cluster.Now);
  });
}

inline void Node::appendLog(const std::string &Body) {
  if (Cluster.Restates)
    Cluster.append(Body);
}

inline void Node::announce(HostAddress To, const LogReading &Reading) {
  if (Cluster.Announcements)
    Cluster.send(To, SmallMessageBytes, true, [this, Reading](Node &Target) {
      Target.Replicator.onUnsolicitedReading(Address, Reading, Cluster.Now);
    });
}

inline void Node::requestRecords(HostAddress To,
                                 const RecordsRequest &Request) {
  Cluster.send(To, SmallMessageBytes, false, [this, Request, To](Node &Target) {
    const RecordsReply Reply =
        Target.Replicator.recordsReply(Request, Cluster.Now);
    std::size_t Size = SmallMessageBytes;
    if (Reply.Range)
      for (const RawRecord &Record : Reply.Range->Records)
        Size += Record.Body.size();
    Cluster.send(Address, Size, false, [this, To, Reply](Node &Requester) {
      Requester.Replicator.onRecords(To, Reply, Cluster.Now);
    });
  });
}

inline void Node::requestSnapshot(HostAddress To) {
  Cluster.send(To, SmallMessageBytes, false, [this, To](Node &Target) {
    SnapshotReply Reply = Target.Replicator.snapshotReply(Cluster.Now);
    // A wrong state whose digest matches its documents.
    if (Target.CorruptSnapshots && Reply.Snapshot)
      Reply.Snapshot = FoldSnapshot{Reply.Snapshot->NextOffset, 0, {}};
    Cluster.send(Address, ContentBytes, false,
                 [this, To, Reply](Node &Requester) {
                   Requester.Replicator.onSnapshot(To, Reply, Cluster.Now);
                 });
  });
}

inline void Node::requestDigest(HostAddress To, const DigestRequest &Request) {
  Cluster.send(To, SmallMessageBytes, false, [this, Request, To](Node &Target) {
    const DigestReply Reply = Target.Replicator.digestReply(Request);
    Cluster.send(Address, SmallMessageBytes, false,
                 [this, To, Reply](Node &Requester) {
                   Requester.Replicator.onDigest(To, Reply, Cluster.Now);
                 });
  });
}

inline void Node::documentChanged(const ConfigurationDocument &Document) {
  Reverted = Reverted || Document.Version < Version;
  Version = Document.Version;
  ChangedAt = Cluster.Now;
}

} // namespace camphorpin

#endif
