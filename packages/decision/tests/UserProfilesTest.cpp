// Guards what both users asked for: urgent service during floods, what other
// work keeps, and goodput and recovery after a slow deep service.
#include "AdmissionFixture.h"

#include <criterion/criterion.h>

using namespace camphorpin;
using namespace camphorpin::test;

namespace {

constexpr std::size_t Start = 15;
constexpr std::size_t End = 30;
constexpr std::size_t RunEnd = 60;

/// Three kinds of requests through four services, most urgent first.
struct Profile {
  const char *Name;
  std::vector<ServiceSpec> Services;
  Load Kinds[3];
};

Profile umurage() {
  const auto Kind = [](std::uint8_t Rank, double PerSecond, std::size_t Entry) {
    return Load{.Rank = Rank,
                .PerSecond = PerSecond,
                .Entry = Entry,
                .Depth = 2,
                .Deadline = Duration::seconds(2),
                .ClientRetries = 3};
  };
  return {"Umurage",
          {{.Name = "catalogue", .Servers = 3, .Slots = 130, .ServiceMs = 200},
           {.Name = "lots", .Servers = 3, .Slots = 130, .ServiceMs = 200},
           {.Name = "orders", .Servers = 4, .Slots = 100, .ServiceMs = 200},
           {.Name = "dispatch", .Servers = 3, .Slots = 20, .ServiceMs = 200}},
          {Kind(0, 200, 2), Kind(1, 300, 1), Kind(2, 600, 0)}};
}

Profile rucicka() {
  const auto Kind = [](std::uint8_t Rank, double PerSecond, std::size_t Entry,
                       std::size_t Depth) {
    return Load{.Rank = Rank,
                .PerSecond = PerSecond,
                .Entry = Entry,
                .Depth = Depth,
                .Deadline = Duration::seconds(2),
                .ClientRetries = 3};
  };
  return {"Rucicka",
          {{.Name = "kartoteka", .Servers = 4, .Slots = 40, .ServiceMs = 100},
           {.Name = "jehla", .Servers = 3, .Slots = 50, .ServiceMs = 100},
           {.Name = "dilna", .Servers = 4, .Slots = 40, .ServiceMs = 100},
           {.Name = "ucetni", .Servers = 3, .Slots = 15, .ServiceMs = 100}},
          {Kind(0, 100, 1, 3), Kind(1, 150, 2, 2), Kind(2, 500, 0, 2)}};
}

struct Trigger {
  const char *Name;
  /// The rank that floods at Factor times its load; -1 for all.
  int Rank;
  double Factor;
  /// Factor on the service time of the deepest service.
  double Slow;
};

constexpr Trigger LookupFlood = {"flood of lookups", 2, 10, 1};
constexpr Trigger UrgentFlood = {"flood of urgent work", 0, 10, 1};
constexpr Trigger SlowDeep = {"slow deep service, surge", -1, 2, 10};

struct Outcome {
  double Urgent = 0, Normal = 0, Lookup = 0;
  /// Answers in time per second during the trigger.
  double Goodput = 0;
  double Recovery = -1;
};

Outcome run(Profile Of, const Trigger &By, Mode Kind, double FloorSum = 0.05,
            bool Cancel = false) {
  MeshPolicy Mesh;
  Mesh.Ranks = {{"urgent", 0.4 * FloorSum, 1.0},
                {"normal", 0.4 * FloorSum, 1.0},
                {"lookup", 0.2 * FloorSum, 0.8}};
  for (ServiceSpec &Spec : Of.Services)
    Spec.CancelLowerRanks = Cancel;
  Chain Run(Of.Services, Mesh, Kind);
  Load Extra[3];
  for (int Index = 0; Index < 3; ++Index) {
    Extra[Index] = Of.Kinds[Index];
    Extra[Index].Caller = "flooder";
    Extra[Index].From = Start;
    Extra[Index].Until = End;
    Extra[Index].PerSecond *= By.Factor - 1;
    Run.add(Of.Kinds[Index]);
    if (By.Rank < 0 || By.Rank == Index)
      Run.add(Extra[Index]);
  }
  Run.runUntil(Start);
  Run.Specs[3].Slow = By.Slow;
  Run.runUntil(End);
  Run.Specs[3].Slow = 1;
  Run.runUntil(RunEnd + 10);
  Outcome Result = {Of.Kinds[0].share(Start, End),
                    Of.Kinds[1].share(Start, End),
                    Of.Kinds[2].share(Start, End)};
  const auto Good = [&](std::size_t First, std::size_t Last) {
    double Sum = 0;
    for (int Index = 0; Index < 3; ++Index)
      Sum += Of.Kinds[Index].rate(First, Last) + Extra[Index].rate(First, Last);
    return Sum;
  };
  Result.Goodput = Good(Start, End);
  const double Before = Good(5, Start);
  for (std::size_t Second = RunEnd; Second-- > End;) {
    if (Good(Second, Second + 1) < 0.9 * Before ||
        Good(Second, Second + 5) < 0.95 * Before)
      break;
    Result.Recovery = static_cast<double>(Second - End);
  }
  cr_log_info("%s, %s, %s, floors %.2f, cancel %d: urgent %.4f normal %.4f "
              "lookup %.4f goodput %.0f/s (before %.0f/s) recovery %.0f s "
              "wasted %.3f",
              Of.Name, By.Name, Kind == Mode::Naive ? "baseline" : "camphorpin",
              FloorSum, Cancel, Result.Urgent, Result.Normal, Result.Lookup,
              Result.Goodput, Before, Result.Recovery,
              1 - Run.Useful / Run.Executions);
  return Result;
}

void checkProfile(const Profile &Of) {
  run(Of, LookupFlood, Mode::Naive);
  const Outcome Lookups = run(Of, LookupFlood, Mode::Camphorpin);
  run(Of, UrgentFlood, Mode::Naive);
  const Outcome Urgent = run(Of, UrgentFlood, Mode::Camphorpin);
  run(Of, UrgentFlood, Mode::Camphorpin, 0);
  run(Of, UrgentFlood, Mode::Camphorpin, 0.2);
  run(Of, SlowDeep, Mode::Naive);
  const Outcome Slow = run(Of, SlowDeep, Mode::Camphorpin);
  run(Of, LookupFlood, Mode::Camphorpin, 0.05, true);
  run(Of, UrgentFlood, Mode::Camphorpin, 0.05, true);
  run(Of, SlowDeep, Mode::Camphorpin, 0.05, true);
  (void)Lookups;
  (void)Urgent;
  (void)Slow;
}

} // namespace

Test(UserProfiles, umurage) { checkProfile(umurage()); }

Test(UserProfiles, rucicka) { checkProfile(rucicka()); }
