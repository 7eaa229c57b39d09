// Checks that retries of one request stay bounded over the whole call graph,
// and that the fleet does not amplify an overload.
#include "camphorpin/Retry.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <cstdio>
#include <cstdlib>
#include <rapidcheck.h>

using namespace camphorpin;

namespace {

constexpr std::uint8_t ExtraAttempts = 3;
constexpr int MaxDepth = 11;

/// \class Call
/// \brief A call in the logical call tree of a request.
struct Call {
  std::vector<Call> Children;
  /// The children are called at the same time.
  bool Parallel = false;
  int Depth = 1;
};

int calls(const Call &Root) {
  int Sum = 1;
  for (const Call &Child : Root.Children)
    Sum += calls(Child);
  return Sum;
}

int largestProperSubtree(const Call &Root) {
  int Largest = 0;
  for (const Call &Child : Root.Children)
    Largest = std::max(Largest, calls(Child));
  return Largest;
}

Call makeTree(Random &Source, int Depth, int &RemainingCalls) {
  Call Root;
  Root.Depth = Depth;
  Root.Parallel = Source.below(2) == 0;
  const std::uint64_t Width = Source.below(10) < 6 ? 1 : Source.below(4);
  for (std::uint64_t Index = 0;
       Index < Width && Depth < MaxDepth && RemainingCalls > 0; ++Index) {
    --RemainingCalls;
    Root.Children.push_back(makeTree(Source, Depth + 1, RemainingCalls));
  }
  return Root;
}

/// \class CallTreeExecutor
/// \brief Executes a call tree with random failures.
class CallTreeExecutor {
public:
  CallTreeExecutor(Random &Source, double FailureShare, double LossShare)
      : Source(Source), FailureShare(FailureShare), LossShare(LossShare) {}

  struct Outcome {
    bool Failed = false;
    bool Lost = false;
    std::uint8_t Returned = 0;
  };

  /// Runs \p Node once, with its children and their retries.
  Outcome execute(const Call &Node, std::uint8_t Received) {
    ++Executions;
    AttemptBudget Budget(Received);
    std::vector<std::uint8_t> Allocations;
    // Parallel calls get their allocations before the first answer returns.
    for (std::size_t Index = 0; Index < Node.Children.size(); ++Index)
      Allocations.push_back(Node.Parallel ? Budget.allocate() : 0);
    for (std::size_t Index = 0; Index < Node.Children.size(); ++Index)
      call(Node.Children[Index], Budget, Allocations[Index], Node.Parallel);
    Outcome Result;
    Result.Failed = Source.uniform01() < FailureShare;
    Result.Lost = Source.uniform01() < LossShare;
    Result.Returned = Budget.available();
    return Result;
  }

  /// Baseline: each hop repeats a failed call three times, and a hop whose call
  /// failed fails itself.
  bool executeNaively(const Call &Node) {
    if (++Executions > MaxCounted)
      return false;
    bool Failed = Source.uniform01() < FailureShare;
    for (const Call &Child : Node.Children) {
      bool ChildFailed = true;
      for (int Attempt = 0; Attempt < 4 && ChildFailed; ++Attempt)
        ChildFailed = executeNaively(Child);
      Failed = Failed || ChildFailed;
    }
    return Failed;
  }

  static constexpr int MaxCounted = 10000000;
  int Executions = 0;

private:
  void call(const Call &Child, AttemptBudget &Budget, std::uint8_t Allocation,
            bool IsAllocated) {
    RetryThrottle Unlimited(1);
    for (;;) {
      const std::uint8_t Allocated =
          IsAllocated ? Allocation : Budget.allocate();
      IsAllocated = false;
      const Outcome Result = execute(Child, Allocated);
      if (!Result.Lost)
        Budget.returnUnused(Allocated, Result.Returned);
      if (!Result.Failed && !Result.Lost)
        return;
      AttemptFailure Failure;
      Failure.Idempotent = true;
      Failure.Direct = true;
      Failure.Remaining = Duration::seconds(1);
      if (RetryPolicy::decide(Failure, Budget, Unlimited) !=
          RetryDecision::Retry)
        return;
    }
  }

  Random &Source;
  double FailureShare;
  double LossShare;
};

} // namespace

// Retries at each hop multiply with the depth; with one budget for the whole
// request they add up.
Test(Retry, executionsStayBelowTheBoundInRandomCallGraphs) {
  setenv("RC_PARAMS", "seed=20261204 max_success=5000", 1);
  double Worst = 0;
  int Retried = 0;
  const bool Passed = rc::check("budget", [&Worst, &Retried] {
    SeededRandom Source(*rc::gen::arbitrary<std::uint64_t>());
    int RemainingCalls = 60;
    const Call Root = makeTree(Source, 1, RemainingCalls);
    CallTreeExecutor Executor(Source, 0.2 * *rc::gen::inRange(0, 6),
                              0.2 * *rc::gen::inRange(0, 4));
    Executor.execute(Root, ExtraAttempts);
    const int Bound = calls(Root) + ExtraAttempts * largestProperSubtree(Root);
    Worst = std::max(Worst, static_cast<double>(Executor.Executions) / Bound);
    Retried += Executor.Executions - calls(Root);
    RC_ASSERT(Executor.Executions <= Bound);
  });
  std::fprintf(stderr,
               "executions / bound: at most %.2f; %d repeated executions\n",
               Worst, Retried);
  cr_assert(Passed);
  cr_assert_gt(Retried, 0);
}

// Guards against retries at each hop, which multiply to 4^10 calls of the last
// service when all calls fail.
Test(Retry, executionsGrowLinearlyInChainOfFailingCalls) {
  Call Chain;
  Chain.Depth = MaxDepth;
  for (int Depth = MaxDepth - 1; Depth > 0; --Depth) {
    Call Above;
    Above.Children.push_back(Chain);
    Above.Depth = Depth;
    Chain = Above;
  }
  SeededRandom Source(1);
  CallTreeExecutor Budgeted(Source, 1, 0);
  Budgeted.execute(Chain, ExtraAttempts);
  CallTreeExecutor Naive(Source, 1, 0);
  Naive.executeNaively(Chain);
  std::fprintf(stderr, "chain of 11: %d executions, three per hop: %d\n",
               Budgeted.Executions, Naive.Executions);
  cr_assert_leq(Budgeted.Executions, 11 + 3 * 10);
  cr_assert_gt(Naive.Executions, 1000000, "4^10 calls of the last service");
}

// A retry must not run work twice, repeat a permanent refusal, start too late
// or exceed the budget.
Test(Retry, refusesRetriesThatAreUnsafeNotRetryableOrTooLate) {
  AttemptBudget Budget(ExtraAttempts);
  RetryThrottle Throttle(0.1);
  AttemptFailure Failure{.Verdict = Verdict::NotRun,
                         .Reason = RefusalReason::Overloaded,
                         .Direct = true,
                         .Remaining = Duration::millis(100),
                         .ExpectedDuration = Duration::millis(20)};
  AttemptFailure Unsafe = Failure;
  Unsafe.Verdict = Verdict::MayHaveRun;
  cr_assert(RetryPolicy::decide(Unsafe, Budget, Throttle) ==
            RetryDecision::Unsafe);
  AttemptFailure Deeper = Failure;
  Deeper.Direct = false;
  cr_assert(RetryPolicy::decide(Deeper, Budget, Throttle) ==
            RetryDecision::NotDirect);
  AttemptFailure Late = Failure;
  Late.Remaining = Duration::millis(20);
  cr_assert(RetryPolicy::decide(Late, Budget, Throttle) ==
            RetryDecision::DeadlineTooClose);
  AttemptFailure CrashSuspect = Failure;
  CrashSuspect.Reason = RefusalReason::CrashSuspect;
  cr_assert(RetryPolicy::decide(CrashSuspect, Budget, Throttle) ==
            RetryDecision::NotRetryable);
  cr_assert_eq(Budget.available(), ExtraAttempts,
               "a denied retry must not consume an extra attempt");
  for (int Attempt = 0; Attempt < ExtraAttempts; ++Attempt)
    cr_assert(RetryPolicy::decide(Failure, Budget, Throttle) ==
              RetryDecision::Retry);
  cr_assert(RetryPolicy::decide(Failure, Budget, Throttle) ==
            RetryDecision::BudgetExhausted);
}

// When a service is down, retries must not add more than a tenth to its load.
Test(Retry, retriesStayWithinRatioDuringOutage) {
  RetryThrottle Throttle(0.1);
  int Retries = 0;
  for (int Attempt = 0; Attempt < 10000; ++Attempt) {
    Throttle.onFirstAttempt();
    for (int Extra = 0; Extra < ExtraAttempts; ++Extra)
      Retries += Throttle.tryAcquire();
  }
  cr_assert_leq(Retries, 1000 + static_cast<int>(RetryThrottle::Burst));
  cr_assert_geq(Retries, 990);
}

// A caller that times out and resends must not cause a second execution.
Test(Retry, duplicatesAreCoalescedWithTheRequestInFlight) {
  RequestCoalescer Coalescer(2, 2);
  SeededRandom Source(3);
  const RequestKey Key = RequestKey::make(Instant::fromMillis(1), Source);
  const RequestKey Other = RequestKey::make(Instant::fromMillis(1), Source);
  const CallerName Caller("shop");
  cr_assert(Coalescer.add(Caller, Key, 1) == CoalesceDecision::Start);
  cr_assert(Coalescer.add(Caller, Key, 2) == CoalesceDecision::Joined);
  cr_assert(Coalescer.add(Caller, Key, 3) == CoalesceDecision::Joined);
  cr_assert(Coalescer.add(Caller, Key, 4) == CoalesceDecision::Full);
  cr_assert(Coalescer.add(CallerName("other"), Key, 5) ==
                CoalesceDecision::Start,
            "keys of different callers are different");
  cr_assert(Coalescer.add(Caller, Other, 6) == CoalesceDecision::Full);
  Coalescer.abandon(Caller, Key, 2);
  Coalescer.abandon(Caller, Key, 1);
  const std::vector<std::uint64_t> Waiting = Coalescer.finish(Caller, Key);
  cr_assert((Waiting == std::vector<std::uint64_t>{1, 3}));
  cr_assert(Coalescer.add(Caller, Key, 7) == CoalesceDecision::Start);
}
