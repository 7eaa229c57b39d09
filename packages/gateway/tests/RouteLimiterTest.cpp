#include "camphorpin/src/Gateway/RouteLimiter.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <deque>
#include <random>

using namespace camphorpin;

namespace {

/// Numbers of requests by outcome.
struct RouteResults {
  int Completed = 0;
  int Failed = 0;
  int Refused = 0;
};

/// A route whose runs make ten sequential calls of a service with a fixed rate.
/// Callers retry a failed request once.
class SimulatedRoute {
public:
  SimulatedRoute(bool Limited, int RequestsPerSecond, int CallsPerSecond)
      : Limited(Limited), Requests(RequestsPerSecond), Calls(CallsPerSecond) {}

  RouteResults simulate(int Seconds) {
    for (int Millis = 0; Millis < Seconds * 1000; Millis += TickMillis)
      tick(Millis);
    return Result;
  }

private:
  static constexpr int TickMillis = 10;
  static constexpr int CallsPerRun = 10;
  static constexpr int TicksPerCall = 5;
  struct Run {
    int CallsLeft = CallsPerRun;
    int WaitTicks = TicksPerCall;
    bool IsRetry = false;
  };

  void tick(int Millis) {
    Now = Instant::fromMillis(1000 + Millis);
    ArrivalsDue += Requests * TickMillis / 1000.0;
    CallTokens =
        std::min(CallTokens + Calls * TickMillis / 1000.0, Calls / 10.0);
    for (; ArrivalsDue >= 1; ArrivalsDue -= 1)
      arrive(false);
    for (; RetriesDue >= 1; --RetriesDue)
      arrive(true);
    advance();
  }

  void arrive(bool IsRetry) {
    if (Limited && !Limiter.admit("r", 1)) {
      ++Result.Refused;
      return;
    }
    Run Started;
    Started.IsRetry = IsRetry;
    Active.push_back(Started);
  }

  void advance() {
    // The service doesn't know how many calls a run has already made.
    std::shuffle(Active.begin(), Active.end(), Order);
    std::deque<Run> Left;
    for (Run &Item : Active) {
      if (--Item.WaitTicks > 0) {
        Left.push_back(Item);
        continue;
      }
      Item.WaitTicks = TicksPerCall;
      if (CallTokens < 1) {
        end(Item, RunOutcome::DependencyFailed);
      } else {
        CallTokens -= 1;
        if (--Item.CallsLeft > 0)
          Left.push_back(Item);
        else
          end(Item, RunOutcome::Succeeded);
      }
    }
    Active.swap(Left);
  }

  void end(const Run &Item, RunOutcome End) {
    if (Limited)
      Limiter.end("r", End, Now);
    if (End == RunOutcome::Succeeded)
      ++Result.Completed;
    else
      ++Result.Failed;
    if (End != RunOutcome::Succeeded && !Item.IsRetry)
      ++RetriesDue;
  }

  bool Limited;
  int Requests;
  int Calls;
  RouteLimiter Limiter;
  RouteResults Result;
  std::deque<Run> Active;
  std::mt19937 Order{20261204};
  Instant Now;
  double ArrivalsDue = 0;
  double CallTokens = 0;
  int RetriesDue = 0;
};

} // namespace

// Guards against the loss of goodput under an overload deep in the call graph:
// without the limit, most runs fail after using calls that others needed. The
// service has capacity for the calls of 80 runs a second, and 120 requests a
// second arrive.
Test(RouteLimiter, keepsGoodputWhenADependencyIsOverloaded) {
  const RouteResults Unlimited = SimulatedRoute(false, 120, 800).simulate(30);
  const RouteResults Bounded = SimulatedRoute(true, 120, 800).simulate(30);
  cr_assert_gt(Bounded.Completed, 1.3 * Unlimited.Completed,
               "%d completed, unlimited %d", Bounded.Completed,
               Unlimited.Completed);
  cr_assert_gt(Bounded.Completed, 0.7 * 80 * 30, "%d completed, capacity %d",
               Bounded.Completed, 80 * 30);
}

// Guards against limiting a route whose dependency is not overloaded.
Test(RouteLimiter, doesNotLimitWithoutOverload) {
  const RouteResults Bounded = SimulatedRoute(true, 60, 800).simulate(30);
  cr_assert_eq(Bounded.Refused, 0);
  cr_assert_eq(Bounded.Failed, 0);
}

// Guards against blocking a route entirely: a few runs are always admitted, so
// that a recovery can be detected.
Test(RouteLimiter, alwaysAdmitsSomeRuns) {
  RouteLimiter Limiter;
  for (int Count = 0; Count < 500; ++Count) {
    Limiter.admit("r", 3);
    Limiter.end("r", RunOutcome::DependencyFailed,
                Instant::fromMillis(1000 + Count * 50));
  }
  cr_assert(Limiter.admit("r", 3));
  cr_assert(Limiter.admit("r", 3));
}
