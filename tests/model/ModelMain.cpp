#include "LoadModel.h"

#include <cstdio>
#include <exception>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(scenario, "", "file with the system and its load");
DEFINE_int32(seeds, 3, "plays with different seeds, whose results are added");
DEFINE_bool(csv, false, "print comma-separated values in place of a table");

namespace {

using namespace camphorpin::model;

void add(RouteResult &Sum, const RouteResult &Item) {
  Sum.Asked += Item.Asked;
  Sum.InTime += Item.InTime;
  Sum.Late += Item.Late;
  Sum.Refused += Item.Refused;
  Sum.Failed += Item.Failed;
  Sum.RefusedAgain += Item.RefusedAgain;
  Sum.Worth += Item.Worth;
  Sum.WorthOwed += Item.WorthOwed;
}

ModelResult playAll(const Scenario &System) {
  ModelResult Sum;
  for (int Seed = 1; Seed <= FLAGS_seeds; ++Seed) {
    const ModelResult One = play(System, static_cast<std::uint64_t>(Seed));
    for (const auto &[Name, Route] : One.Routes)
      add(Sum.Routes[Name], Route);
    for (const auto &[Name, Use] : One.Use)
      Sum.Use[Name] += Use / FLAGS_seeds;
  }
  return Sum;
}

void print(const Scenario &System, const ModelResult &Result) {
  const char *Head = FLAGS_csv
                         ? "scenario,route,asked,in time,late,refused,failed,"
                           "came back in vain,worth\n"
                         : "%-18s %-16s %7s %7s %6s %7s %6s %7s %6s\n";
  const char *Row = FLAGS_csv ? "%s,%s,%zu,%zu,%zu,%zu,%zu,%zu,%.3f\n"
                              : "%-18s %-16s %7zu %7zu %6zu %7zu %6zu %7zu "
                                "%6.3f\n";
  if (FLAGS_csv)
    std::fputs(Head, stdout);
  else
    std::printf(Head, "scenario", "route", "asked", "in time", "late",
                "refused", "failed", "in vain", "worth");
  for (const auto &[Name, Route] : Result.Routes)
    std::printf(Row, System.Name.c_str(), Name.c_str(), Route.Asked,
                Route.InTime, Route.Late, Route.Refused, Route.Failed,
                Route.RefusedAgain, Route.Worth / Route.WorthOwed);
  if (FLAGS_csv)
    return;
  std::printf("worth %.3f, attainable %.3f; slots in use:", Result.worth(),
              attainableWorth(System));
  for (const auto &[Name, Use] : Result.Use)
    std::printf(" %s %.2f", Name.c_str(), Use);
  std::printf("\n");
}

} // namespace

/// Plays a load against the product's decisions and prints what callers got.
int main(int Count, char **Arguments) {
  gflags::SetUsageMessage("plays a load in virtual time\n"
                          "  load-model --scenario FILE [--seeds N] [--csv]");
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  try {
    const Scenario System = readScenario(FLAGS_scenario);
    print(System, playAll(System));
    return 0;
  } catch (const std::exception &Error) {
    std::cerr << FLAGS_scenario << ": " << Error.what() << "\n";
    return 1;
  }
}
