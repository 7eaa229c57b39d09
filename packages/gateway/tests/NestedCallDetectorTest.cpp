#include "camphorpin/src/Gateway/NestedCallDetector.h"
#include "camphorpin/src/Gateway/RouteLimiter.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <deque>

using namespace camphorpin;

namespace {

/// A host with runs that make nested calls, and with callers.
class SimulatedHost {
public:
  explicit SimulatedHost(std::uint64_t Seed) : RandomSource(Seed) {}

  /// Starts a run, which ends at random or at its deadline, and advances the
  /// time.
  void startRun() {
    const Instant Deadline = Now + RunTimeout;
    Detector.onRunStart(NextRun, Deadline);
    Runs.push_back({NextRun++, Deadline});
    if (Runs.size() > ActiveRuns) {
      Detector.onRunEnd(Runs.front().first);
      Runs.pop_front();
    }
    Now = Now + Duration::fromMillis(20 * RandomSource.uniform01());
  }

  /// Starts \p Count runs within one timeout without ending any.
  void startConcurrentRuns(std::size_t Count) {
    for (std::size_t Index = 0; Index < Count; ++Index) {
      const Instant Deadline =
          Now + RunTimeout * (static_cast<double>(Index + 1) / Count);
      Detector.onRunStart(NextRun, Deadline);
      Runs.push_back({NextRun++, Deadline});
    }
  }

  /// A nested call has the deadline of its run, in whole milliseconds, or a
  /// deadline of its own if the run has more time left.
  bool call(Duration OwnDeadline) {
    const Instant Parent = Runs[RandomSource.below(Runs.size())].second;
    const Duration Left = std::min(OwnDeadline, Parent - Now);
    return Detector.onRequest("called",
                              Now + Duration::millis(Left.wholeMillis()));
  }

  /// A caller's request has a deadline of its own.
  bool request(Duration MaxTimeout) {
    return Detector.onRequest(
        "asked", Now + MaxTimeout * (0.8 + 0.2 * RandomSource.uniform01()));
  }

private:
  static constexpr Duration RunTimeout = Duration::millis(990);
  static constexpr std::size_t ActiveRuns = 40;

  SeededRandom RandomSource;
  NestedCallDetector Detector;
  Instant Now = Instant::fromMillis(5000);
  std::deque<std::pair<std::uint64_t, Instant>> Runs;
  std::uint64_t NextRun = 1;
};

} // namespace

// Guards against limits for callers that refuse the calls of running requests:
// nested calls are detected even if half of them have deadlines of their own.
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

// Guards against losing the classification under a load at which the deadlines
// of runs are so dense that every request matches one.
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

// Guards against classifying callers' requests as nested calls, which would
// exempt them from the limits, even if their deadlines lie among those of many
// runs.
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

// Guards against limits that keep each other low after an overload: a nested
// call is admitted regardless of the limit of its route.
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
