#include "camphorpin/src/Gateway/CrashDetector.h"

#include <memory>
#include <utility>

namespace camphorpin {

namespace {

/// Each node forwards a report once.
constexpr CrashOptions GuardOptions = {.Transmissions = 1};
/// All reports that a node can have.
constexpr std::size_t MaxReports =
    GuardOptions.MaxSuspects * GuardOptions.MaxCrashes;
/// Reports for a node that connects. A fleet that restarts opens many
/// connections at once.
constexpr std::size_t MaxKnownReports = 256;

PeerCrashes noticesOf(std::span<const CrashReport> Reports) {
  PeerCrashes Result;
  for (const CrashReport &Report : Reports)
    Result.Notices.push_back({Report.Fingerprint, Report.CrashId, Report.Age});
  return Result;
}

} // namespace

CrashDetector::CrashDetector(EventLoop &Loop, const Clock &Time,
                             const ProcessId &Self, const HostAddress &Backend)
    : Loop(Loop), Time(Time), Backend(Backend), Guard(Self, GuardOptions) {}

CrashDecision CrashDetector::start(std::uint64_t RunId, const PeerCall &Call) {
  return Guard.start(RunId, Call.Fingerprint, Call.CrashCount, Time.now());
}

void CrashDetector::end(std::uint64_t RunId, bool Completed) {
  Guard.end(RunId, Completed, Time.now());
}

void CrashDetector::onRunLost(std::uint64_t RunId) {
  LostRuns.push_back(RunId);
  if (!ProbeInProgress)
    probeBackend();
}

void CrashDetector::probeBackend() {
  ProbeInProgress = true;
  const auto Socket = std::make_shared<TcpSocket>(Loop);
  Socket->async_connect(detail::endpointOf(Backend),
                        [this, Socket](const boost::system::error_code &Error) {
                          ProbeInProgress = false;
                          onProbed(Error ==
                                   boost::asio::error::connection_refused);
                        });
}

void CrashDetector::onProbed(bool Refused) {
  const Instant Now = Time.now();
  const std::vector<std::uint64_t> Runs = std::exchange(LostRuns, {});
  for (const std::uint64_t RunId : Runs) {
    if (Refused)
      Guard.onRunLost(RunId, Now);
    else
      Guard.end(RunId, /*Completed=*/false, Now);
  }
  if (Refused && OnCrash)
    OnCrash(Runs.size(), takeReports());
}

PeerCrashes CrashDetector::knownCrashes() const {
  return noticesOf(Guard.knownReports(MaxKnownReports, Time.now()));
}

void CrashDetector::onPeerCrashes(const PeerCrashes &Crashes) {
  const Instant Now = Time.now();
  for (const CrashNotice &Notice : Crashes.Notices)
    Guard.onReport({Notice.Fingerprint, Notice.Crash, Notice.Age}, Now);
}

PeerCrashes CrashDetector::takeReports() {
  return noticesOf(Guard.takeReports(MaxReports, Time.now()));
}

} // namespace camphorpin
