#include "camphorpin/src/Gateway/NestedCallDetector.h"
#include "camphorpin/src/Gateway/RouteLimiter.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <deque>

using namespace camphorpin;

namespace {

/// A host with runs of a route that makes calls, and with callers.
class SimulatedHost {
public:
  explicit SimulatedHost(std::uint64_t Seed) : Source(Seed) {}

  /// A run begins; it ends after a while or at its deadline.
  void startRun() {
    const Instant Deadline = Now + RunTimeout;
    Detector.onRunStart(NextRun, Deadline);
    Runs.push_back({NextRun++, Deadline});
    if (Runs.size() > ActiveRuns) {
      Detector.onRunEnd(Runs.front().first);
      Runs.pop_front();
    }
    Now = Now + Duration::fromMillis(20 * Source.unit());
  }

  /// \p Count runs begin within one timeout, and none ends.
  void startConcurrentRuns(std::size_t Count) {
    for (std::size_t Index = 0; Index < Count; ++Index) {
      const Instant Deadline =
          Now + RunTimeout * (static_cast<double>(Index + 1) / Count);
      Detector.onRunStart(NextRun, Deadline);
      Runs.push_back({NextRun++, Deadline});
    }
  }

  /// A run calls: at its deadline, told in whole milliseconds, or at one of its
  /// own where the run has much time left.
  bool call(Duration OwnDeadline) {
    const Instant Parent = Runs[Source.below(Runs.size())].second;
    const Duration Left = std::min(OwnDeadline, Parent - Now);
    return Detector.onRequest("called",
                              Now + Duration::millis(Left.wholeMillis()));
  }

  /// A caller's request has its own deadline.
  bool request(Duration MaxTimeout) {
    return Detector.onRequest("asked",
                              Now + MaxTimeout * (0.8 + 0.2 * Source.unit()));
  }

private:
  static constexpr Duration RunTimeout = Duration::millis(990);
  static constexpr std::size_t ActiveRuns = 40;

  SeededRandom Source;
  NestedCallDetector Detector;
  Instant Now = Instant::fromMillis(5000);
  std::deque<std::pair<std::uint64_t, Instant>> Runs;
  std::uint64_t NextRun = 1;
};

} // namespace

// Guards begun runs against losing their calls to bounds that are meant for
// callers: calls are recognized, also where half of them have own deadlines.
Test(NestedCallDetector, detectsNestedCalls) {
  SimulatedHost Host(20261204);
  int Detected = 0;
  for (int Count = 0; Count < 300; ++Count) {
    Host.startRun();
    if (Host.call(Duration::millis(700)) && Count >= 100)
      ++Detected;
  }
  cr_assert_geq(Detected, 195, "%d of 200", Detected);
}

// Guards what was learnt against a load under which the ends of runs lie so
// close together that every request matches one.
Test(NestedCallDetector, keepsClassificationUnderLoad) {
  SimulatedHost Host(20261206);
  for (int Count = 0; Count < 300; ++Count) {
    Host.startRun();
    Host.call(Duration::millis(700));
  }
  Host.startConcurrentRuns(400);
  int Detected = 0;
  for (int Count = 0; Count < 300; ++Count)
    Detected += Host.call(Duration::millis(700)) ? 1 : 0;
  cr_assert_geq(Detected, 290, "%d of 300", Detected);
}

// Guards the bounds against callers that are taken for runs, also if their
// deadlines lie among those of many runs.
Test(NestedCallDetector, doesNotClassifyCallersRequestsAsNested) {
  for (const Duration MaxTimeout :
       {Duration::millis(800), Duration::seconds(6)}) {
    SimulatedHost Host(20261205);
    int Detected = 0;
    for (int Count = 0; Count < 2000; ++Count) {
      Host.startRun();
      if (Host.request(MaxTimeout))
        ++Detected;
    }
    cr_assert_leq(Detected, 40, "%d of 2000", Detected);
  }
}

// Guards against bounds that hold each other down after an overload: a call of
// a begun run is taken whatever the bound of its route.
Test(RouteLimiter, alwaysAdmitsNestedCalls) {
  RouteLimiter Limiter;
  for (int Count = 0; Count < 500; ++Count) {
    Limiter.admit("r", 3);
    Limiter.end("r", RunOutcome::DependencyFailed,
                Instant::fromMillis(1000 + Count * 50));
  }
  for (int Count = 0; Count < 20; ++Count)
    cr_assert(Limiter.admit("r", 3, /*Nested=*/true));
  cr_assert_not(Limiter.admit("r", 3));
}
