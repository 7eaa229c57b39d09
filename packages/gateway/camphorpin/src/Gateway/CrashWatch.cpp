#include "camphorpin/src/Gateway/CrashWatch.h"

#include <memory>

namespace camphorpin {

namespace {

/// Reports are sent to all peers at once and not passed on.
constexpr CrashOptions GuardOptions = {.Transmissions = 1};
constexpr std::size_t MaxReports = 256;

} // namespace

CrashWatch::CrashWatch(EventLoop &Loop, const Clock &Time,
                       const ProcessId &Self, const HostAddress &Backend)
    : Loop(Loop), Time(Time), Backend(Backend), Guard(Self, GuardOptions) {}

CrashDecision CrashWatch::start(std::uint64_t RunId, const PeerCall &Call) {
  return Guard.start(RunId, Call.Fingerprint, Call.CrashCount, Time.now());
}

void CrashWatch::end(std::uint64_t RunId, bool Completed) {
  Guard.end(RunId, Completed, Time.now());
}

void CrashWatch::onRunLost(std::uint64_t RunId) {
  Lost.push_back(RunId);
  if (!Checking)
    check();
}

void CrashWatch::check() {
  Checking = true;
  const auto Socket = std::make_shared<TcpSocket>(Loop);
  Socket->async_connect(detail::endpointOf(Backend),
                        [this, Socket](const boost::system::error_code &Error) {
                          Checking = false;
                          onChecked(Error ==
                                    boost::asio::error::connection_refused);
                        });
}

void CrashWatch::onChecked(bool Refused) {
  const Instant Now = Time.now();
  const std::vector<std::uint64_t> Runs = std::move(Lost);
  Lost.clear();
  for (const std::uint64_t RunId : Runs) {
    if (Refused)
      Guard.onRunLost(RunId, Now);
    else
      Guard.end(RunId, /*Completed=*/false, Now);
  }
  if (!Refused)
    return;
  PeerCrashes Crashes;
  for (const CrashReport &Report : Guard.takeReports(MaxReports, Now))
    Crashes.Notices.push_back({Report.Fingerprint, Report.CrashId});
  if (Found)
    Found(Runs.size(), Crashes);
}

void CrashWatch::learn(const PeerCrashes &Crashes) {
  const Instant Now = Time.now();
  for (const CrashNotice &Notice : Crashes.Notices)
    Guard.onReport({Notice.Fingerprint, Notice.Crash, Duration()}, Now);
  // What others have reported is not passed on.
  (void)Guard.takeReports(MaxReports, Now);
}

} // namespace camphorpin
