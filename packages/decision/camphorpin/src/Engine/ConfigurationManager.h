#ifndef CAMPHORPIN_SRC_ENGINE_CONFIGURATIONMANAGER_H
#define CAMPHORPIN_SRC_ENGINE_CONFIGURATIONMANAGER_H

#include "camphorpin/Configuration.h"
#include "camphorpin/src/Engine/Actions.h"
#include "camphorpin/src/Engine/EngineOptions.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphorpin::detail {

/// \class DocumentListener
/// \brief Receives the documents that have come into force.
class DocumentListener {
public:
  virtual ~DocumentListener() = default;

  virtual void documentChanged(const ConfigurationDocument &Document) = 0;
};

/// \class ConfigurationManager
/// \brief Connects ConfigurationReplicator with the other nodes, the platform's
/// log and the log of the process, and stores the entry points that the
/// platform's log names.
///
/// Bounds: those of ConfigurationReplicator, and MaxEntryPoints entry points.
class ConfigurationManager final : private ConfigurationActions {
public:
  /// \param Out, Listener, Peers and RandomSource must outlive the manager.
  ConfigurationManager(const EngineOptions &Options, Actions &Out,
                       DocumentListener &Listener,
                       const ConfigurationPeers &Peers, Random &RandomSource)
      : Self(Options.Self), Retention(Options.LogRetention), Out(Out),
        Listener(Listener),
        Replicator({Options.Self.Address, Options.Zone}, Options.LogRetention,
                   Peers, RandomSource, *this) {}

  /// Runs the timers of the replicator.
  void tick(Instant Now);

  void onLogPage(const LogReadResult &Page, Instant Now);
  void onLogReadFailed(Instant Now);
  void onMessage(HostAddress From, const ConfigurationMessage &Message,
                 Instant Now);

  /// Handles an unsolicited reading of another node.
  void onUnsolicitedReading(HostAddress From, const LogReading &Reading,
                            Instant Now) {
    Replicator.onUnsolicitedReading(From, Reading, Now);
  }
  /// Handles the reading in the reply to a message that this node sent at
  /// \p SentAt. Only such a reading advances upToDateAsOf().
  void onReadingInReply(HostAddress From, const LogReading &Reading,
                        Instant SentAt, Instant Now) {
    Replicator.onReadingInReply(From, Reading, SentAt, Now);
  }
  /// \returns the latest instant such that all records appended before it are
  /// known to be applied, or nothing.
  std::optional<Instant> upToDateAsOf() const {
    return Replicator.upToDateAsOf();
  }
  /// \returns the reading of the log to attach to outgoing messages.
  LogReading reading(Instant Now) const { return Replicator.reading(Now); }

  /// \returns the entry points that the log names, except those older than the
  /// retention of the log.
  std::vector<EntryRecord> entryPoints(Instant Now) const;

private:
  static constexpr std::size_t MaxEntryPoints = 64;

  struct EntryPoint {
    EntryRecord Record;
    Instant SeenAt;
  };

  void handle(HostAddress From, const RecordsRequest &Message, Instant Now);
  void handle(HostAddress From, const RecordsReply &Message, Instant Now);
  void handle(HostAddress From, const SnapshotRequest &Message, Instant Now);
  void handle(HostAddress From, const SnapshotReply &Message, Instant Now);
  void handle(HostAddress From, const DigestRequest &Message, Instant Now);
  void handle(HostAddress From, const DigestReply &Message, Instant Now);

  void readLog(std::uint64_t From, std::size_t Max) override;
  void appendLog(const std::string &Body) override;
  void announce(HostAddress To, const LogReading &Reading) override;
  void requestRecords(HostAddress To, const RecordsRequest &Request) override;
  void requestSnapshot(HostAddress To) override;
  void requestDigest(HostAddress To, const DigestRequest &Request) override;
  void documentChanged(const ConfigurationDocument &Document) override;
  void recordFolded(std::uint64_t Offset,
                    const RecordOutcome &Outcome) override;
  void digestMismatch(HostAddress First, HostAddress Second) override;

  const ProcessId Self;
  const Duration Retention;
  Actions &Out;
  DocumentListener &Listener;
  ConfigurationReplicator Replicator;
  std::map<HostAddress, EntryPoint> EntryPoints;
  /// The time of the event that is being handled, for recordFolded().
  Instant CurrentEventTime;
  bool LogUnreadable = false;
};

} // namespace camphorpin::detail

#endif
