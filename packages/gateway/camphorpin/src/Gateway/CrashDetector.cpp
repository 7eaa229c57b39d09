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
/// Time after the loss of a run in which another incarnation of the backend
/// server shows that it has crashed: a suspended node receives the next report
/// of the server within about two seconds.
constexpr Duration ReplacementPeriod = Duration::seconds(5);

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

void CrashDetector::onRunLost(std::uint64_t RunId, Instant Started) {
  LostRuns.push_back({RunId, Started, Time.now()});
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
  std::vector<LostRun> Crashed;
  for (const LostRun &Run : std::exchange(LostRuns, {})) {
    // A run that began later may have been sent to the present incarnation.
    const bool OnEarlierServer = Replaced && Run.Started < *Replaced;
    if (Refused || OnEarlierServer) {
      Crashed.push_back(Run);
      continue;
    }
    Guard.onRunUndecided(Run.RunId);
    UndecidedRuns.push_back(Run);
  }
  if (Refused || !Crashed.empty())
    onCrash(Crashed);
}

void CrashDetector::onServerReplaced() {
  Replaced = Time.now();
  const std::vector<LostRun> Runs = std::exchange(UndecidedRuns, {});
  if (!Runs.empty())
    onCrash(Runs);
}

void CrashDetector::onCrash(std::span<const LostRun> Runs) {
  const Instant Now = Time.now();
  for (const LostRun &Run : Runs)
    Guard.onRunLost(Run.RunId, Now);
  if (OnCrash)
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

void CrashDetector::tick() {
  const Instant Now = Time.now();
  Guard.tick(Now);
  std::erase_if(UndecidedRuns, [this, Now](const LostRun &Run) {
    if (Now - Run.Lost < ReplacementPeriod)
      return false;
    Guard.end(Run.RunId, /*Completed=*/false, Now);
    return true;
  });
}

} // namespace camphorpin
