#ifndef CAMPHORPIN_SRC_CLAIMS_CLAIMOPTIONS_H
#define CAMPHORPIN_SRC_CLAIMS_CLAIMOPTIONS_H

#include "camphorpin/Core.h"

#include <cstddef>

namespace camphorpin {

/// \brief Largest difference between the wall clocks of two hosts.
inline constexpr Duration MaxClockSkew = Duration::seconds(5);

/// \class ClaimOptions
/// \brief Limits and periods of claims. All nodes of a service use the same.
struct ClaimOptions {
  /// Largest age of a key that may run.
  Duration KeyRetention = Duration::seconds(3600);
  /// Largest age of the log reading of a home that runs keys (F).
  Duration LogSilenceBound = Duration::seconds(12 * 3600);
  /// A message that is not answered is repeated after this time.
  Duration ResendInterval = Duration::millis(200);
  /// How long the mirror of a home that has ended may take to answer before
  /// its table counts as lost.
  Duration MirrorTimeout = Duration::seconds(10);
  /// Keys in the table of a home, and in the copy of one at a mirror. A key
  /// takes 30 bytes, so that three tables of this size take 18 MB of the 32 MB
  /// of a node. It allows 55 keys a second for an hour.
  std::size_t MaxKeys = 200000;
  /// Requests that wait for a claim or for the state of their key.
  std::size_t MaxWaiting = 1024;
  /// Bytes of stored answers.
  std::size_t MaxAnswerBytes = 4U << 20U;
  /// Entries in one page of a table.
  std::size_t PageEntries = 256;

  /// \returns how long a key stays in a table. Two clocks may differ by the
  /// skew, so a table forgets a key only when no home can accept it any more.
  Duration tableRetention() const { return KeyRetention + MaxClockSkew * 2; }

  /// \returns the wait before a takeover without the former home and its
  /// mirror: the silence bound and 2% for the drift of monotonic clocks.
  Duration takeoverWait() const { return LogSilenceBound * 1.02; }
};

} // namespace camphorpin

#endif
