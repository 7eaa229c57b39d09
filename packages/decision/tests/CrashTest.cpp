// Guards against a request that crashes each backend server that runs it, and
// against refusing requests that only ran at the same time.
#include "camphorpin/Crash.h"

#include <criterion/criterion.h>
#include <cstdio>
#include <map>
#include <memory>
#include <set>
#include <vector>

using namespace camphorpin;

namespace {

constexpr std::uint64_t CrashingRequest = 666;
constexpr std::size_t Nodes = 40;
constexpr std::size_t MaxReports = 100;

/// \class Fleet
/// \brief Nodes with one backend server each, gossip, and a caller that sends a
/// crashing request again and again.
class Fleet {
public:
  explicit Fleet(bool Guarded) : Guarded(Guarded) {
    for (std::uint32_t Index = 0; Index < Nodes; ++Index)
      Guards.emplace_back(ProcessId{HostAddress{Index, 1}, 1}, CrashOptions());
  }

  /// \returns true if the request was started.
  bool start(std::size_t Node, std::uint64_t Fingerprint) {
    const CrashDecision Choice =
        Guarded ? Guards[Node].start(++LastRun, Fingerprint, 0, Now)
                : CrashDecision::Start;
    Refused += Choice == CrashDecision::Refuse;
    if (Choice != CrashDecision::Start)
      return false;
    Running[Node].push_back({LastRun, Fingerprint});
    return true;
  }

  /// Ends the runs at a node, by a crash if the crashing request is one of
  /// them.
  void finishRuns(std::size_t Node) {
    std::vector<Run> Runs;
    Runs.swap(Running[Node]);
    bool Crashes = false;
    for (const Run &Ended : Runs)
      Crashes = Crashes || Ended.Fingerprint == CrashingRequest;
    if (Crashes) {
      ++Crashed;
      Guards[Node].onBackendCrash(Now);
      return;
    }
    for (const Run &Ended : Runs) {
      Guards[Node].end(Ended.Id, true, Now);
      Completed.insert(Ended.Fingerprint);
    }
  }

  /// One round of gossip: each node sends its reports to three others.
  void gossip() {
    Now = Now + Duration::seconds(1);
    for (std::size_t Node = 0; Node < Nodes; ++Node)
      for (const CrashReport &Report : Guards[Node].takeReports(16, Now))
        for (int Peer = 0; Peer < 3; ++Peer)
          Guards[Source.below(Nodes)].onReport(Report, Now);
  }

  struct Run {
    std::uint64_t Id = 0;
    std::uint64_t Fingerprint = 0;
  };
  bool Guarded;
  Instant Now = Instant::fromMillis(1000000);
  SeededRandom Source{5};
  std::vector<CrashGuard> Guards;
  std::map<std::size_t, std::vector<Run>> Running;
  std::uint64_t LastRun = 0;
  std::size_t Crashed = 0;
  std::size_t Refused = 0;
  std::set<std::uint64_t> Completed;
};

/// The caller sends the crashing request \p PerRound times between two rounds
/// of gossip, each time through another node, with other work beside it.
Fleet sendCrashingRequest(bool Guarded, std::size_t PerRound,
                          std::size_t Rounds) {
  Fleet Simulated(Guarded);
  std::uint64_t OtherFingerprint = 1000;
  for (std::size_t Round = 0; Round < Rounds; ++Round) {
    for (std::size_t Send = 0; Send < PerRound; ++Send) {
      const std::size_t Node = Simulated.Source.below(Nodes);
      for (int Other = 0; Other < 5; ++Other)
        Simulated.start(Node, ++OtherFingerprint);
      Simulated.start(Node, CrashingRequest);
      Simulated.finishRuns(Node);
    }
    Simulated.gossip();
  }
  return Simulated;
}

} // namespace

// The bound: C crashes at most, with C = MaxCrashes + P * R, where P is the
// number of sends in one round of gossip and R the rounds in which a report
// reaches every node. R = 5 for 40 nodes with a fan-out of 3 (4^5 > 40).
Test(Crash, crashesOfOneRequestAreBounded) {
  constexpr std::size_t DisseminationRounds = 5;
  for (const std::size_t PerRound : {1U, 2U, 5U}) {
    const Fleet Unguarded = sendCrashingRequest(false, PerRound, 60);
    const Fleet Guarded = sendCrashingRequest(true, PerRound, 60);
    std::fprintf(stderr,
                 "%zu sends in 60 rounds: %zu crashes without the guard, %zu "
                 "with it, %zu refused\n",
                 60 * PerRound, Unguarded.Crashed, Guarded.Crashed,
                 Guarded.Refused);
    cr_assert_eq(Unguarded.Crashed, 60 * PerRound);
    cr_assert_leq(Guarded.Crashed, 2 + PerRound * DisseminationRounds);
  }
}

// Requests that ran during a crash caused by another one must be served again.
Test(Crash, otherRunningRequestsAreClearedByACompletedRun) {
  Fleet Simulated(true);
  for (std::uint64_t Other = 1; Other <= 30; ++Other)
    cr_assert(Simulated.start(0, Other));
  cr_assert(Simulated.start(0, CrashingRequest));
  Simulated.finishRuns(0);
  for (int Round = 0; Round < 10; ++Round)
    Simulated.gossip();
  // The callers send again through other nodes, one with the crashing request.
  std::size_t CrashingStarted = 0;
  for (std::size_t Round = 0; Simulated.Completed.size() < 30 && Round < 40;
       ++Round) {
    CrashingStarted += Simulated.start(1, CrashingRequest);
    for (std::uint64_t Other = 1; Other <= 30; ++Other)
      if (!Simulated.Completed.contains(Other))
        Simulated.start(1 + Round % 3, Other);
    Simulated.finishRuns(1);
    Simulated.finishRuns(2);
    Simulated.finishRuns(3);
    Simulated.gossip();
  }
  cr_assert_eq(Simulated.Completed.size(), 30U, "all other requests have run");
  cr_assert_eq(Simulated.Crashed, 2U);
  for (std::uint64_t Other = 1; Other <= 30; ++Other)
    cr_assert_not(Simulated.Guards[1].mustRefuse(Other, Simulated.Now));
  cr_assert(Simulated.Guards[1].mustRefuse(CrashingRequest, Simulated.Now));
}

// If two suspects ran at the same time, the second crash would be
// attributed to both.
Test(Crash, suspectDoesNotRunBesideAnotherSuspect) {
  CrashGuard Guard(ProcessId{HostAddress{1, 1}, 1}, CrashOptions());
  const Instant Now = Instant::fromMillis(5000);
  cr_assert(Guard.start(1, 10, 1, Now) == CrashDecision::Start);
  cr_assert(Guard.start(2, 20, 0, Now) == CrashDecision::Start);
  cr_assert(Guard.start(3, 30, 1, Now) == CrashDecision::Defer);
  Guard.onReport({20, 77, Duration()}, Now);
  Guard.end(1, true, Now);
  cr_assert(Guard.start(3, 30, 1, Now) == CrashDecision::Defer,
            "a running request came under suspicion");
  Guard.end(2, true, Now);
  cr_assert(Guard.start(3, 30, 1, Now) == CrashDecision::Start);
  cr_assert(Guard.start(4, 40, 2, Now) == CrashDecision::Refuse);
}

// Guards a popular request against its refusal after one crash.
Test(Crash, equalRunsInProgressCountOneCrash) {
  CrashGuard Guard(ProcessId{HostAddress{1, 1}, 1}, CrashOptions());
  const Instant Now = Instant::fromMillis(1000);
  for (std::uint64_t RunId = 1; RunId <= 3; ++RunId)
    cr_assert_eq(Guard.start(RunId, CrashingRequest, 0, Now),
                 CrashDecision::Start);
  Guard.onRunLost(1, Now);
  Guard.onRunLost(2, Now + Duration::millis(10));
  Guard.onBackendCrash(Now + Duration::millis(20));
  cr_assert_eq(Guard.crashCount(CrashingRequest, Now), 1);
  // It runs again, and its server crashes again.
  cr_assert_eq(Guard.start(4, CrashingRequest, 0, Now), CrashDecision::Start);
  Guard.onRunLost(4, Now + Duration::seconds(5));
  cr_assert(Guard.mustRefuse(CrashingRequest, Now + Duration::seconds(5)));
}

// Guards against nodes that start after the crashes and let the request run.
Test(Crash, knownReportsReachLaterNodesAndKeepTheirAge) {
  CrashGuard First(ProcessId{HostAddress{1, 1}, 1}, CrashOptions());
  const Instant Crash = Instant::fromMillis(1000);
  First.onReport({CrashingRequest, 7, Duration()}, Crash);
  cr_assert_eq(First.knownReports(MaxReports, Crash).size(), 1);
  First.onReport({CrashingRequest, 8, Duration()}, Crash);
  CrashGuard Later(ProcessId{HostAddress{2, 1}, 1}, CrashOptions());
  const Instant Start = Crash + Duration::seconds(400);
  for (const CrashReport &Report : First.knownReports(MaxReports, Start))
    Later.onReport(Report, Start);
  cr_assert(Later.mustRefuse(CrashingRequest, Start));
  const Instant End = Crash + Duration::seconds(600);
  cr_assert_not(Later.mustRefuse(CrashingRequest, End));
  cr_assert(Later.knownReports(MaxReports, End).empty());
}

// Many requests that ran beside a crash must not displace a refused one from
// the reports for a node that starts.
Test(Crash, knownReportsBeginWithRefusals) {
  CrashGuard Guard(ProcessId{HostAddress{1, 1}, 1}, CrashOptions());
  const Instant Now = Instant::fromMillis(5000);
  Guard.onReport({CrashingRequest, 77, Duration()}, Now);
  Guard.onReport({CrashingRequest, 78, Duration()}, Now);
  for (std::uint64_t Other = 1000; Other < 1500; ++Other)
    Guard.onReport({Other, 79, Duration()}, Now + Duration::seconds(1));
  const std::vector<CrashReport> Reports =
      Guard.knownReports(MaxReports, Now + Duration::seconds(1));
  cr_assert_eq(Reports.size(), MaxReports);
  cr_assert_eq(Reports[0].Fingerprint, CrashingRequest);
  cr_assert_eq(Reports[1].Fingerprint, CrashingRequest);
}

// A node that got the report of a crash late, or by way of others, must accept
// that a completed run has cleared the request.
Test(Crash, clearanceHoldsThoughTheCrashWasReportedLate) {
  CrashGuard Guard(ProcessId{HostAddress{1, 1}, 1}, CrashOptions());
  const Instant Now = Instant::fromMillis(5000);
  Guard.onReport({CrashingRequest, 77, Duration()}, Now);
  Guard.onReport({CrashingRequest, 0, Duration::millis(30)},
                 Now + Duration::millis(10));
  cr_assert_eq(Guard.crashCount(CrashingRequest, Now), 0);
  // A clearance of an earlier crash does not clear a later one.
  Guard.onReport({CrashingRequest, 78, Duration()}, Now + Duration::seconds(5));
  Guard.onReport({CrashingRequest, 0, Duration::seconds(5)},
                 Now + Duration::seconds(5));
  cr_assert_eq(Guard.crashCount(CrashingRequest, Now + Duration::seconds(5)),
               1);
}

// The same report must not count as a second crash, and a refusal must end.
Test(Crash, reportsAreCountedOnceAndExpire) {
  CrashGuard Guard(ProcessId{HostAddress{1, 1}, 1}, CrashOptions());
  const Instant Now = Instant::fromMillis(5000);
  for (int Copy = 0; Copy < 3; ++Copy)
    Guard.onReport({CrashingRequest, 77, Duration::seconds(Copy)}, Now);
  cr_assert_eq(Guard.crashCount(CrashingRequest, Now), 1);
  Guard.onReport({CrashingRequest, 78, Duration()}, Now);
  cr_assert(Guard.mustRefuse(CrashingRequest, Now));
  Guard.onReport({CrashingRequest, 0, Duration()}, Now);
  cr_assert(Guard.mustRefuse(CrashingRequest, Now),
            "a late clearance has no effect");
  cr_assert(Guard.mustRefuse(CrashingRequest, Now + Duration::seconds(599)));
  cr_assert_not(
      Guard.mustRefuse(CrashingRequest, Now + Duration::seconds(600)));
  Guard.tick(Now + Duration::seconds(600));
  cr_assert_eq(Guard.suspectCount(), 0U);
}

// Crashes of busy backend servers must not displace a refusal.
Test(Crash, tableIsBoundedAndKeepsRefusals) {
  CrashGuard Guard(ProcessId{HostAddress{1, 1}, 1}, CrashOptions());
  const Instant Now = Instant::fromMillis(5000);
  Guard.onReport({CrashingRequest, 77, Duration()}, Now);
  Guard.onReport({CrashingRequest, 78, Duration()}, Now);
  for (std::uint64_t Other = 1000; Other < 4000; ++Other)
    Guard.onReport({Other, 79, Duration()}, Now + Duration::seconds(1));
  cr_assert_eq(Guard.suspectCount(), CrashOptions().MaxSuspects);
  cr_assert(Guard.mustRefuse(CrashingRequest, Now));
}
