#ifndef CAMPHORPIN_SRC_CONFIGURATION_CONFIGURATIONACTIONS_H
#define CAMPHORPIN_SRC_CONFIGURATION_CONFIGURATIONACTIONS_H

#include "camphorpin/src/Configuration/ConfigurationMessages.h"
#include "camphorpin/src/Configuration/RecordOutcome.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace camphorpin {

/// \class ConfigurationActions
/// \brief What ConfigurationReplicator asks its owner to do. Replies come back
/// through the methods of ConfigurationReplicator; a reply that is lost needs
/// no report.
class ConfigurationActions {
public:
  virtual ~ConfigurationActions() = default;

  /// Reads the platform's log; answered by onLogRead() or onLogReadFailed().
  virtual void readLog(std::uint64_t From, std::size_t Max) = 0;

  /// Appends a restate to the platform's log. The result is not reported: the
  /// record is read from the log, or another try follows.
  virtual void appendLog(const std::string &Body) = 0;

  /// Sends one datagram with the reading of this node.
  virtual void announce(HostAddress To, const LogReading &Reading) = 0;

  /// Answered by onRecords().
  virtual void requestRecords(HostAddress To,
                              const RecordsRequest &Request) = 0;

  /// Answered by onSnapshot().
  virtual void requestSnapshot(HostAddress To) = 0;

  /// Answered by onDigest().
  virtual void requestDigest(HostAddress To, const DigestRequest &Request) = 0;

  /// A document is in force in a new version, also once for each document after
  /// a start.
  virtual void documentChanged(const ConfigurationDocument &Document) = 0;

  /// A record was folded. Invalid records and conflicts are worth a log line.
  virtual void recordFolded(std::uint64_t Offset,
                            const RecordOutcome &Outcome) = 0;

  /// Two nodes gave different digests at the same offset to this new node.
  virtual void digestMismatch(HostAddress First, HostAddress Second) = 0;
};

} // namespace camphorpin

#endif
