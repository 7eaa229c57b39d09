#ifndef CAMPHORPIN_SRC_CONFIGURATION_SNAPSHOTFETCHER_H
#define CAMPHORPIN_SRC_CONFIGURATION_SNAPSHOTFETCHER_H

#include "camphorpin/src/Configuration/ConfigurationActions.h"
#include "camphorpin/src/Configuration/ConfigurationFold.h"
#include "camphorpin/src/Configuration/ConfigurationPeers.h"
#include "camphorpin/src/Configuration/ReaderSelection.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace camphorpin {

/// \class FetchedState
/// \brief The state that a joining node has fetched from its peers.
struct FetchedState {
  ConfigurationFold Fold;
  std::vector<DocumentAge> Ages;
  /// Valid only if HasReading is true: the log was read to the state's offset
  /// at this instant or later.
  Instant UpToDateAsOf;
  bool HasReading = false;
};

/// \class SnapshotFetcher
/// \brief Fetches the state of the fold for a joining node: a snapshot from one
/// peer, verified against the digest of a second peer at the same offset. The
/// second peer is in another availability zone if there is one, and preferably
/// a log reader, because readers have read furthest. A node that knows only one
/// peer uses its snapshot unverified.
class SnapshotFetcher {
public:
  static constexpr Duration ReplyTimeout = Duration::seconds(2);
  /// Delay before another peer is asked for a digest that the last one did not
  /// have.
  static constexpr Duration DigestRetryDelay = Duration::millis(500);
  /// Requests for a digest before another snapshot is fetched.
  static constexpr std::size_t MaxDigestAttempts = 5;
  /// The first attempts prefer log readers; later ones ask any peer, because
  /// all readers may have crashed.
  static constexpr std::size_t DigestAttemptsPreferringReaders = 3;

  /// \param Selection selects the log readers.
  SnapshotFetcher(HostAddress Self, const ConfigurationPeers &Peers,
                  ReaderSelection &Selection, Random &Source,
                  ConfigurationActions &Actions)
      : Self(Self), Peers(Peers), Selection(Selection), Source(Source),
        Actions(Actions) {}

  /// Requests a snapshot from a random peer.
  /// \returns false if no peer is known.
  bool start(Instant Now);

  /// \returns true if the current attempt has failed: by a timeout, an empty or
  /// invalid snapshot, or a mismatch of digests.
  bool failed(Instant Now) const;

  /// Requests the digest from another peer when the retry delay has passed.
  void tick(Instant Now);

  /// \returns the state if no second peer is known that could verify it.
  std::optional<FetchedState> onSnapshot(HostAddress From, SnapshotReply Reply,
                                         Instant Now);

  /// \returns the state if the digest matches.
  std::optional<FetchedState> onDigest(HostAddress From,
                                       const DigestReply &Reply, Instant Now);

private:
  enum class Phase : std::uint8_t { Failed, Snapshot, Digest };

  /// \returns a random peer other than this node and \p ExcludedPeer, outside
  /// \p AvoidedZone if possible, or null if there is none.
  const ConfigurationPeer *pickPeer(std::span<const ConfigurationPeer> All,
                                    HostAddress ExcludedPeer,
                                    const ZoneName &AvoidedZone);
  void requestPeerDigest(Instant Now);

  HostAddress Self;
  const ConfigurationPeers &Peers;
  ReaderSelection &Selection;
  Random &Source;
  ConfigurationActions &Actions;
  Phase State = Phase::Failed;
  HostAddress SnapshotPeer;
  ZoneName SnapshotPeerZone;
  HostAddress DigestPeer;
  Instant RequestedAt;
  Instant Deadline;
  Instant NextDigestAttempt = Instant::never();
  std::size_t DigestAttempts = 0;
  std::optional<FetchedState> Candidate;
};

} // namespace camphorpin

#endif
