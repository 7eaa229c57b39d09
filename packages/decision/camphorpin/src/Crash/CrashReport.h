#ifndef CAMPHORPIN_SRC_CRASH_CRASHREPORT_H
#define CAMPHORPIN_SRC_CRASH_CRASHREPORT_H

#include "camphorpin/Core.h"

#include <cstdint>

namespace camphorpin {

/// \class CrashReport
/// \brief Reports that a request was running when a backend server crashed, or
/// that a completed run of it cleared the suspicion. Disseminated to all nodes
/// by gossip. Reports may arrive any number of times, in any order.
struct CrashReport {
  /// See RequestContext::Fingerprint.
  std::uint64_t Fingerprint = 0;
  /// Identifies the crash of a backend server; 0 in a report that clears the
  /// suspicion.
  std::uint64_t CrashId = 0;
  /// Time since the reported event. Reports expire at CrashOptions::Retention.
  Duration Age;
};

} // namespace camphorpin

#endif
