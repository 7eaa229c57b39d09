#ifndef CAMPHORPIN_SRC_CONFIGURATION_CONFIGURATIONREPLICATOR_H
#define CAMPHORPIN_SRC_CONFIGURATION_CONFIGURATIONREPLICATOR_H

#include "camphorpin/src/Configuration/ConfigurationActions.h"
#include "camphorpin/src/Configuration/ConfigurationFold.h"
#include "camphorpin/src/Configuration/ConfigurationMessages.h"
#include "camphorpin/src/Configuration/ConfigurationPeers.h"
#include "camphorpin/src/Configuration/ReaderSelection.h"
#include "camphorpin/src/Configuration/RecentRecords.h"
#include "camphorpin/src/Configuration/RestateScheduler.h"
#include "camphorpin/src/Configuration/SnapshotFetcher.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace camphorpin {

/// \class ConfigurationReplicator
/// \brief Replicates the records of the platform's log to this node and its
/// peers, and folds them.
///
/// The readers of each availability zone poll the log. A node that has folded
/// new records announces its offset to AnnounceFanout random peers, and a node
/// that learns of a higher offset requests the missing records from the
/// announcer. The readings of the log that all gossip carries make up for lost
/// announcements. A node that knows of no recent reading polls the log itself.
///
/// Bounds: those of ConfigurationFold and RecentRecords; at most one request
/// for records and one read of the log are in flight.
class ConfigurationReplicator {
public:
  static constexpr Duration PollInterval = Duration::seconds(1);
  static constexpr std::size_t AnnounceFanout = 3;
  /// A node announces at most once per interval, so that a burst of records
  /// causes few announcements.
  static constexpr Duration MinAnnounceInterval = Duration::millis(100);
  static constexpr Duration PullTimeout = Duration::seconds(1);
  /// A read that the owner does not answer within this time counts as failed.
  static constexpr Duration ReadTimeout = Duration::seconds(30);
  /// A node polls the log itself if its latest known reading is older than
  /// this.
  static constexpr Duration StaleAfter = Duration::seconds(10);
  static constexpr Duration FallbackPollInterval = Duration::seconds(60);
  /// A node whose missing records are no longer held by its peers reads the log
  /// after a random delay of at most this.
  static constexpr Duration CatchUpWindow = Duration::seconds(2);
  /// Largest batch, in records.
  static constexpr std::size_t MaxReadBatch = 256;
  /// Smallest batch, in records. Each failed read halves the batch size,
  /// because the reply may have been too large; reaching the end of the log
  /// restores MaxReadBatch.
  static constexpr std::size_t MinReadBatch = 8;
  /// Attempts to fetch a snapshot before a log reader reads the log from its
  /// start instead.
  static constexpr std::size_t MaxSnapshotAttemptsByReader = 4;
  /// Attempts to fetch a snapshot before a node that is no log reader reads the
  /// log itself; they take about half a minute.
  static constexpr std::size_t MaxSnapshotAttempts = 30;
  /// Longest delay between two attempts to join.
  static constexpr Duration MaxJoinRetryDelay = Duration::seconds(1);

  /// \param Self address and availability zone of this node.
  /// \param LogRetention how long the log keeps records.
  ConfigurationReplicator(const ConfigurationPeer &Self, Duration LogRetention,
                          const ConfigurationPeers &Peers, Random &Source,
                          ConfigurationActions &Actions);

  /// Runs timers. To be called at least every 100 ms.
  void tick(Instant Now);

  void onLogRead(const LogReadResult &Result, Instant Now);
  void onLogReadFailed(Instant Now);

  /// Handles the reading in an unsolicited message, such as an announcement or
  /// a probe.
  void onUnsolicitedReading(HostAddress From, const LogReading &Reading,
                            Instant Now);

  /// Handles the reading in the reply to a message that this node sent
  /// at \p SentAt, such as the acknowledgement of a probe. Only such a reading
  /// advances upToDateAsOf(): an unsolicited message may have waited in a
  /// buffer while the process was paused.
  void onReadingInReply(HostAddress From, const LogReading &Reading,
                        Instant SentAt, Instant Now);

  void onRecords(HostAddress From, const RecordsReply &Reply, Instant Now);
  void onSnapshot(HostAddress From, SnapshotReply Reply, Instant Now);
  void onDigest(HostAddress From, const DigestReply &Reply, Instant Now);

  /// Replies to the requests of peers.
  RecordsReply recordsReply(const RecordsRequest &Request, Instant Now) const;
  SnapshotReply snapshotReply(Instant Now) const;
  DigestReply digestReply(const DigestRequest &Request) const;

  /// \returns the reading of the log to attach to outgoing messages.
  LogReading reading(Instant Now) const;

  /// \returns the latest instant such that all records appended before it are
  /// known to be folded, or nothing. Claims compare its age with the log
  /// silence bound.
  std::optional<Instant> upToDateAsOf() const;

  /// \returns true once this node has the configuration and can use it.
  bool joined() const { return Joined; }

  /// \returns true if this node polls the log for its zone.
  bool isReader() { return Selection.isReader(Peers); }

  /// \returns the fold, or null before the node has joined.
  const ConfigurationFold *fold() const { return Joined ? &*Fold : nullptr; }

private:
  struct Pull {
    HostAddress From;
    Instant SentAt;
  };
  struct AnnouncedOffset {
    HostAddress From;
    std::uint64_t NextOffset = 0;
  };

  void tickJoin(Instant Now);
  void tickPolls(Instant Now);
  void tickRestates(Instant Now);
  void startRead(Instant Now);
  void requestMissingRecords(HostAddress From, Instant Now);
  void pullIfBehind(Instant Now);
  /// Updates LatestReadingAt and HighestAnnounced, and requests missing
  /// records.
  void notePeerReading(HostAddress From, const LogReading &Reading,
                       Instant Now);
  /// Advances UpToDateAsOf if this node has folded all records that the sender
  /// had.
  void advanceUpToDateAsOf(const LogReading &Reading, Instant SentAt);
  void foldRecords(std::span<const RawRecord> Records, std::uint64_t Next,
                   Instant Now);
  void announceSoon(Instant Now);
  void announce(Instant Now);
  void publishChanged(Instant Now);
  void finishJoin(Instant Now);
  void installState(FetchedState State, Instant Now);
  void joinFromLog(Instant Now);
  bool hasRecentReading(Instant Now) const;

  ConfigurationPeer Self;
  Duration LogRetention;
  const ConfigurationPeers &Peers;
  Random &Source;
  ConfigurationActions &Actions;
  ReaderSelection Selection;
  SnapshotFetcher Fetcher;
  RestateScheduler Restates;
  RecentRecords Recent;
  std::optional<ConfigurationFold> Fold;
  bool Joined = false;
  bool JoiningFromLog = false;
  std::size_t JoinAttempts = 0;
  Instant NextJoinAttempt;
  std::optional<Pull> PullInFlight;
  AnnouncedOffset HighestAnnounced;
  std::optional<Instant> ReadStartedAt;
  std::size_t ReadBatchSize = MaxReadBatch;
  Instant NextPoll;
  Instant NextFallbackPoll = Instant::never();
  /// Missing records are no longer held by the peers, so this node reads the
  /// log.
  bool MustCatchUp = false;
  /// All records appended before this instant are folded.
  std::optional<Instant> UpToDateAsOf;
  /// The latest time at which any node is known to have read the log to its
  /// end.
  std::optional<Instant> LatestReadingAt;
  Instant NextAnnounce;
  bool AnnouncePending = false;
};

} // namespace camphorpin

#endif
