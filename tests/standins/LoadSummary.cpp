#include "LoadSummary.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace camphorpin::standins {

namespace {

/// Reasons that are listed with their text; further ones only with their kind.
constexpr std::size_t MaxDetails = 20;

/// \pre \p Sorted ascends. \returns 0 if it is empty.
double percentile(const std::vector<double> &Sorted, double Share) {
  if (Sorted.empty())
    return 0;
  const double Position = Share * static_cast<double>(Sorted.size() - 1);
  return Sorted[static_cast<std::size_t>(std::lround(Position))];
}

} // namespace

LoadSummary::LoadSummary(const LoadPlan &Plan,
                         std::span<const SendRecord> Records)
    : LossAllowed(Plan.LossAllowed) {
  for (const SendRecord &Record : Records)
    add(Rows[Plan.Streams[Record.Stream].Rank], Record);
  for (auto &[Rank, Values] : Rows) {
    std::sort(Values.LatenciesMs.begin(), Values.LatenciesMs.end());
    std::sort(Values.AddedMs.begin(), Values.AddedMs.end());
  }
}

void LoadSummary::add(Row &Target, const SendRecord &Record) {
  if (Record.Outcome == LoadOutcome::Wrong)
    ++Target.Wrong;
  if (Record.Outcome == LoadOutcome::Lost ||
      Record.Outcome == LoadOutcome::Missing ||
      Record.Outcome == LoadOutcome::NotConnected)
    ++Target.Unanswered;
  if (Record.Outcome != LoadOutcome::Served)
    addDetail(Target, Record);
  if (Record.Duplicate || !Record.Final)
    return;
  ++Target.Finals[Record.Outcome];
  if (Record.Outcome != LoadOutcome::Served)
    return;
  Target.LatenciesMs.push_back(Record.latencyMs());
  Target.AddedMs.push_back(Record.latencyMs() - Record.ServiceMs);
}

void LoadSummary::addDetail(Row &Target, const SendRecord &Record) {
  std::string Text(toString(Record.Outcome));
  if (Target.Details.size() < MaxDetails)
    Text += " " + Record.Detail;
  ++Target.Details[Text];
}

std::size_t LoadSummary::Row::requests() const {
  std::size_t Sum = 0;
  for (const auto &[Outcome, Count] : Finals)
    Sum += Count;
  return Sum;
}

std::size_t LoadSummary::Row::count(LoadOutcome Outcome) const {
  const auto Found = Finals.find(Outcome);
  return Found != Finals.end() ? Found->second : 0;
}

std::string LoadSummary::table() const {
  std::string Text =
      "rank       requests   served  not-run  may-have-run  unanswered  wrong  "
      " p50 ms   p99 ms  added p50  added p99\n";
  for (const auto &[Rank, Values] : Rows) {
    char Line[256];
    std::snprintf(
        Line, sizeof Line,
        "%-10s %8zu %8zu %8zu %13zu %11zu %6zu %8.2f %8.2f %10.2f "
        "%10.2f\n",
        Rank.c_str(), Values.requests(), Values.count(LoadOutcome::Served),
        Values.count(LoadOutcome::NotRun),
        Values.count(LoadOutcome::MayHaveRun) +
            Values.count(LoadOutcome::RanWithoutResult),
        Values.Unanswered, Values.Wrong, percentile(Values.LatenciesMs, 0.5),
        percentile(Values.LatenciesMs, 0.99), percentile(Values.AddedMs, 0.5),
        percentile(Values.AddedMs, 0.99));
    Text += Line;
  }
  return Text;
}

std::string LoadSummary::toJson(std::size_t LateSends) const {
  nlohmann::json Root = {{"acceptable", acceptable()},
                         {"lateSends", LateSends}};
  for (const auto &[Rank, Values] : Rows) {
    nlohmann::json &Entry = Root["ranks"][Rank];
    Entry = {{"requests", Values.requests()},
             {"unanswered", Values.Unanswered},
             {"wrong", Values.Wrong},
             {"p50Ms", percentile(Values.LatenciesMs, 0.5)},
             {"p99Ms", percentile(Values.LatenciesMs, 0.99)},
             {"addedP50Ms", percentile(Values.AddedMs, 0.5)},
             {"addedP99Ms", percentile(Values.AddedMs, 0.99)},
             {"details", Values.Details}};
    for (const auto &[Outcome, Count] : Values.Finals)
      Entry["outcomes"][std::string(toString(Outcome))] = Count;
  }
  return Root.dump(2);
}

bool LoadSummary::acceptable() const {
  return std::all_of(Rows.begin(), Rows.end(), [this](const auto &Entry) {
    return Entry.second.Wrong == 0 &&
           (LossAllowed || Entry.second.Unanswered == 0);
  });
}

} // namespace camphorpin::standins
