#ifndef CAMPHORPIN_SRC_CONFIGURATION_CONFIGURATIONACTIONS_H
#define CAMPHORPIN_SRC_CONFIGURATION_CONFIGURATIONACTIONS_H

#include "camphorpin/src/Configuration/ConfigurationMessages.h"
#include "camphorpin/src/Configuration/RecordOutcome.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace camphorpin {

/// \class ConfigurationActions
/// \brief Interface through which ConfigurationReplicator reads the log and
/// sends messages. Replies are passed to the methods of
/// ConfigurationReplicator; a lost reply need not be reported, because every
/// request has a timeout.
class ConfigurationActions {
public:
  virtual ~ConfigurationActions() = default;

  /// Reads the platform's log; answered by onLogRead() or onLogReadFailed().
  virtual void readLog(std::uint64_t From, std::size_t Max) = 0;

  /// Appends a restate to the platform's log. The result is not reported:
  /// either the record is read back from the log, or the restate is repeated
  /// later.
  virtual void appendLog(const std::string &Body) = 0;

  /// Sends this node's reading of the log in one datagram.
  virtual void announce(HostAddress To, const LogReading &Reading) = 0;

  /// Answered by onRecords().
  virtual void requestRecords(HostAddress To,
                              const RecordsRequest &Request) = 0;

  /// Answered by onSnapshot().
  virtual void requestSnapshot(HostAddress To) = 0;

  /// Answered by onDigest().
  virtual void requestDigest(HostAddress To, const DigestRequest &Request) = 0;

  /// Called when a new version of a document is in force, and once for each
  /// document when the node has joined.
  virtual void documentChanged(const ConfigurationDocument &Document) = 0;

  /// Called for each folded record. Invalid records and conflicts should be
  /// logged.
  virtual void recordFolded(std::uint64_t Offset,
                            const RecordOutcome &Outcome) = 0;

  /// Called on a joining node if two peers report different digests at the same
  /// offset.
  virtual void digestMismatch(HostAddress First, HostAddress Second) = 0;
};

} // namespace camphorpin

#endif
