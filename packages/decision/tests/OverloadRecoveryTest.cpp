// Guards against metastable overload, in which retries and stale work keep a
// chain of services overloaded after the trigger has gone. Also checks, on two
// deployments, the share of urgent requests answered in time, the share left to
// other ranks, the goodput and the time to recovery.
#include "ServiceChainSimulation.h"

#include <criterion/criterion.h>

using namespace camphorpin;
using namespace camphorpin::test;

namespace {

// In seconds. The trigger lasts from TriggerStart to TriggerEnd; recovery is
// evaluated until ObservationEnd.
constexpr std::size_t TriggerStart = 15;
constexpr std::size_t TriggerEnd = 30;
constexpr std::size_t ObservationEnd = 60;

/// Three kinds of requests through four services, most urgent first.
struct Profile {
  const char *Name;
  std::vector<ServiceSpec> Services;
  std::array<Load, 3> Loads;
};

Load makeLoad(std::uint8_t Rank, double PerSecond, std::size_t Entry,
              std::size_t Depth, int DeadlineSeconds = 2) {
  return {.Rank = Rank,
          .PerSecond = PerSecond,
          .Entry = Entry,
          .Depth = Depth,
          .Deadline = Duration::seconds(DeadlineSeconds),
          .ClientRetries = 3};
}

/// A chain of four services at 70% of capacity; almost all requests have one
/// rank.
Profile chain() {
  return {"Chain of four",
          {{.Name = "front", .Slots = 40, .ServiceMs = 10},
           {.Name = "lots", .Slots = 30, .ServiceMs = 10},
           {.Name = "orders", .Slots = 20, .ServiceMs = 10},
           {.Name = "dispatch", .Slots = 10, .ServiceMs = 20}},
          {makeLoad(0, 1, 0, 4, 1), makeLoad(1, 348, 0, 4, 1),
           makeLoad(2, 1, 0, 4, 1)}};
}

/// The deployment of Umurage: each rank enters at a different service and
/// passes through two services.
Profile umurage() {
  return {
      "Umurage",
      {{.Name = "catalogue", .Servers = 3, .Slots = 130, .ServiceMs = 200},
       {.Name = "lots", .Servers = 3, .Slots = 130, .ServiceMs = 200},
       {.Name = "orders", .Servers = 4, .Slots = 100, .ServiceMs = 200},
       {.Name = "dispatch", .Servers = 3, .Slots = 20, .ServiceMs = 200}},
      {makeLoad(0, 200, 2, 2), makeLoad(1, 300, 1, 2), makeLoad(2, 600, 0, 2)}};
}

/// The deployment of Rucicka: lookups and urgent requests share one service,
/// urgent and normal requests the two after it.
Profile rucicka() {
  return {
      "Rucicka",
      {{.Name = "kartoteka", .Servers = 4, .Slots = 40, .ServiceMs = 100},
       {.Name = "jehla", .Servers = 3, .Slots = 50, .ServiceMs = 100},
       {.Name = "dilna", .Servers = 4, .Slots = 40, .ServiceMs = 100},
       {.Name = "ucetni", .Servers = 3, .Slots = 15, .ServiceMs = 100}},
      {makeLoad(0, 100, 1, 3), makeLoad(1, 150, 2, 2), makeLoad(2, 500, 0, 2)}};
}

struct Trigger {
  const char *Name;
  /// The rank that floods at Factor times its load; -1 for all.
  int Rank;
  double Factor;
  /// Factor on the service time of the deepest service.
  double SlowdownFactor;
};

constexpr Trigger LookupFlood = {"flood of lookups", 2, 10, 1};
constexpr Trigger UrgentFlood = {"flood of urgent work", 0, 10, 1};
constexpr Trigger SlowDeepServiceAndSurge = {"slow deep service, surge", -1, 2,
                                             10};

struct Outcome {
  /// Shares of requests answered in time during the trigger, without those of
  /// the flooding caller.
  double Urgent = 0, Normal = 0, Lookup = 0;
  /// Urgent answers in time per second, all callers.
  double UrgentRate = 0;
  /// Answers in time per second during the trigger.
  double Goodput = 0;
  /// Seconds after the trigger from which goodput stays at 95% or more of its
  /// value before; -1 if it never does.
  double Recovery = -1;
};

Outcome run(Profile Deployment, const Trigger &Overload, Mode RunMode,
            double FloorSum = 0.05, bool Cancel = false) {
  MeshPolicy Mesh;
  Mesh.Ranks = {{"urgent", 0.4 * FloorSum, 1.0},
                {"normal", 0.4 * FloorSum, 1.0},
                {"lookup", 0.2 * FloorSum, 0.8}};
  for (ServiceSpec &Spec : Deployment.Services)
    Spec.CancelLowerRanks = Cancel;
  ServiceChain Chain(Deployment.Services, Mesh, RunMode);
  std::array<Load, 3> Extra;
  for (int Index = 0; Index < 3; ++Index) {
    Extra[Index] = Deployment.Loads[Index];
    Extra[Index].Caller = "flooder";
    Extra[Index].From = TriggerStart;
    Extra[Index].Until = TriggerEnd;
    Extra[Index].PerSecond *= Overload.Factor - 1;
    Chain.add(Deployment.Loads[Index]);
    if (Overload.Rank < 0 || Overload.Rank == Index)
      Chain.add(Extra[Index]);
  }
  Chain.runUntil(TriggerStart);
  Chain.Specs[3].SlowdownFactor = Overload.SlowdownFactor;
  Chain.runUntil(TriggerEnd);
  Chain.Specs[3].SlowdownFactor = 1;
  Chain.runUntil(ObservationEnd + 10);
  Outcome Result = {
      .Urgent = Deployment.Loads[0].onTimeShare(TriggerStart, TriggerEnd),
      .Normal = Deployment.Loads[1].onTimeShare(TriggerStart, TriggerEnd),
      .Lookup = Deployment.Loads[2].onTimeShare(TriggerStart, TriggerEnd)};
  Result.UrgentRate = Deployment.Loads[0].onTimeRate(TriggerStart, TriggerEnd) +
                      Extra[0].onTimeRate(TriggerStart, TriggerEnd);
  const auto OnTime = [&](std::size_t First, std::size_t Last) {
    double Sum = 0;
    for (int Index = 0; Index < 3; ++Index)
      Sum += Deployment.Loads[Index].onTimeRate(First, Last) +
             Extra[Index].onTimeRate(First, Last);
    return Sum;
  };
  Result.Goodput = OnTime(TriggerStart, TriggerEnd);
  const double Before = OnTime(5, TriggerStart);
  // The share of the offered requests, because arrivals vary by more than
  // 5% from second to second.
  const auto Share = [&](std::size_t First, std::size_t Last) {
    double Offered = 0;
    for (const Load &Offering : Deployment.Loads)
      Offered += Load::sum(Offering.Offered, First, Last);
    return OnTime(First, Last) * static_cast<double>(Last - First) / Offered;
  };
  for (std::size_t Second = ObservationEnd; Second-- > TriggerEnd;) {
    if (Share(Second, Second + 1) < 0.95 * Share(5, TriggerStart))
      break;
    Result.Recovery = static_cast<double>(Second - TriggerEnd);
  }
  cr_log_info(
      "%s, %s, %s, floors %.2f, cancel %d: urgent %.4f (%.0f/s) normal %.4f "
      "lookup %.4f goodput %.0f/s (before %.0f/s) recovery %.0f s "
      "wasted %.3f",
      Deployment.Name, Overload.Name,
      RunMode == Mode::Baseline ? "baseline" : "camphorpin", FloorSum, Cancel,
      Result.Urgent, Result.UrgentRate, Result.Normal, Result.Lookup,
      Result.Goodput, Before, Result.Recovery, Chain.wastedShare());
  return Result;
}

/// Checks that goodput recovers within 5 s, and never does in the baseline.
void checkRecovery(const Profile &Deployment, const Trigger &Overload,
                   const Outcome &Controlled) {
  cr_assert(Controlled.Recovery >= 0 && Controlled.Recovery <= 5);
  cr_assert_lt(run(Deployment, Overload, Mode::Baseline).Recovery, 0);
}

void checkLookupFlood(const Profile &Deployment) {
  const Outcome Result = run(Deployment, LookupFlood, Mode::Camphorpin);
  cr_assert(Result.Urgent >= 0.99 && Result.Normal >= 0.99);
  checkRecovery(Deployment, LookupFlood, Result);
}

/// Checks the effect of floors; the defaults are based on the results. The run
/// with cancellation is only logged, for comparison.
void checkUrgentFlood(const Profile &Deployment) {
  const Outcome Result = run(Deployment, UrgentFlood, Mode::Camphorpin);
  const Outcome NoFloors = run(Deployment, UrgentFlood, Mode::Camphorpin, 0);
  const Outcome LargeFloors =
      run(Deployment, UrgentFlood, Mode::Camphorpin, 0.2);
  run(Deployment, UrgentFlood, Mode::Camphorpin, 0.05, true);
  cr_assert(Result.UrgentRate >= 0.95 * NoFloors.UrgentRate &&
            LargeFloors.Normal > Result.Normal &&
            Result.Normal > NoFloors.Normal);
  checkRecovery(Deployment, UrgentFlood, Result);
}

/// The run with cancellation is only logged, for comparison.
void checkSlowDeepService(const Profile &Deployment) {
  const Outcome Result =
      run(Deployment, SlowDeepServiceAndSurge, Mode::Camphorpin);
  run(Deployment, SlowDeepServiceAndSurge, Mode::Camphorpin, 0.05, true);
  checkRecovery(Deployment, SlowDeepServiceAndSurge, Result);
}

} // namespace

Test(OverloadRecovery, chainOfFourRecoversFromSlowDeepService) {
  checkSlowDeepService(chain());
}
Test(OverloadRecovery, umurageRecoversFromLookupFlood) {
  checkLookupFlood(umurage());
}
Test(OverloadRecovery, rucickaRecoversFromLookupFlood) {
  checkLookupFlood(rucicka());
}
Test(OverloadRecovery, umurageRecoversFromUrgentFlood) {
  checkUrgentFlood(umurage());
}
Test(OverloadRecovery, rucickaRecoversFromUrgentFlood) {
  checkUrgentFlood(rucicka());
}
Test(OverloadRecovery, umurageRecoversFromSlowDeepService) {
  checkSlowDeepService(umurage());
}
Test(OverloadRecovery, rucickaRecoversFromSlowDeepService) {
  checkSlowDeepService(rucicka());
}
