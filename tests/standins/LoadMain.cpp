#include "LoadRun.h"
#include "LoadSummary.h"

#include <cstdio>
#include <fstream>
#include <gflags/gflags.h>
#include <sstream>

DEFINE_string(plan, "", "file with the load plan");
DEFINE_string(summary, "", "file for the summary as JSON");
DEFINE_string(sends, "",
              "file for one line per send: sent and answered in microseconds, "
              "operation, key, id, attempt, outcome, detail");

namespace {

using namespace camphorpin::standins;

void writeSends(const LoadPlan &Plan, std::span<const SendRecord> Records) {
  std::ofstream File(FLAGS_sends);
  for (const SendRecord &Record : Records)
    File << Record.SentAt << ' ' << Record.AnsweredAt << ' '
         << Plan.Streams[Record.Stream].target() << ' '
         << (Record.Key.empty() ? "-" : Record.Key) << ' ' << Record.Id << ' '
         << Record.Attempt << ' ' << toString(Record.Outcome) << ' '
         << Record.Detail << '\n';
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  std::stringstream Text;
  Text << std::ifstream(FLAGS_plan).rdbuf();
  const LoadPlan Plan = parsePlan(Text.str());
  LoadRun Run(Plan);
  const std::vector<SendRecord> Records = Run.run();
  const LoadSummary Summary(Plan, Records);
  std::fputs(Summary.table().c_str(), stdout);
  if (!FLAGS_summary.empty())
    std::ofstream(FLAGS_summary) << Summary.toJson(Run.lateSends()) << '\n';
  if (!FLAGS_sends.empty())
    writeSends(Plan, Records);
  return Summary.acceptable() ? 0 : 1;
}
