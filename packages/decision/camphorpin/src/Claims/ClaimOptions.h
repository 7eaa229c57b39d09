#ifndef CAMPHORPIN_SRC_CLAIMS_CLAIMOPTIONS_H
#define CAMPHORPIN_SRC_CLAIMS_CLAIMOPTIONS_H

#include "camphorpin/Core.h"

#include <cstddef>

namespace camphorpin {

/// \brief Maximum difference between the wall clocks of two hosts.
inline constexpr Duration MaxClockSkew = Duration::seconds(5);

/// \class ClaimOptions
/// \brief Limits and time-outs of claims, the same on all nodes of a service.
struct ClaimOptions {
  /// Maximum age of a key that may run.
  Duration KeyRetention = Duration::seconds(3600);
  /// Maximum age of a home's last read of the log. With an older one the home
  /// runs no keys, because it may have been replaced.
  Duration LogSilenceBound = Duration::seconds(12 * 3600);
  /// Interval at which an unanswered message is resent.
  Duration ResendInterval = Duration::millis(200);
  /// Time after which the table of a home that has ended counts as lost, if its
  /// mirror has not answered.
  Duration MirrorTimeout = Duration::seconds(10);
  /// Maximum number of keys in the table of a home and in its replica at a
  /// mirror. A key takes 30 bytes, so the own table and the replicas of two
  /// other homes take 18 MB of the 32 MB memory budget of a node. The limit
  /// allows 55 keys per second for an hour.
  std::size_t MaxKeys = 200000;
  /// Maximum number of sends that wait for a claim or for the history of their
  /// key.
  std::size_t MaxWaiting = 1024;
  /// Maximum total size of the stored answers in bytes.
  std::size_t MaxAnswerBytes = 4U << 20U;
  /// Maximum number of entries in one page of a table.
  std::size_t PageEntries = 256;

  /// \returns how long a key stays in a table. It includes two clock skews:
  /// a key is removed only when no home can accept it any more.
  Duration tableRetention() const { return KeyRetention + MaxClockSkew * 2; }

  /// \returns the wait before a takeover when neither the prior owner nor its
  /// mirror answers: the log silence bound plus 2% for clock drift.
  Duration takeoverWait() const { return LogSilenceBound * 1.02; }
};

} // namespace camphorpin

#endif
