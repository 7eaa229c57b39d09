#include "Scenario.h"

#include <cstdio>

namespace camphorpin::process {

namespace {

constexpr int ProbeMillis = 1000;
constexpr std::chrono::seconds RecoveryTimeout{120};

void addFaults(std::string &Text, const char *Kind,
               const std::vector<std::string> &Faults) {
  if (!Faults.empty())
    Text += std::string(Kind) + ": " + describe(Faults) + "\n";
}

} // namespace

Scenario::Scenario(int WorkersPerService,
                   const std::function<void(Worker &)> &Adjust)
    : Running(Mesh::shop(WorkersPerService), Adjust) {}

Worker &Scenario::worker(std::string_view Service, std::size_t Index) {
  return *Running.workersOf(Service).at(Index);
}

nlohmann::json Scenario::plan(int Millis, bool LossAllowed) {
  return {{"seed", ++Seed},
          {"durationMs", Millis},
          {"threads", 64},
          {"lossAllowed", LossAllowed},
          {"streams",
           {{{"service", "orders"},
             {"operation", "pay"},
             {"rank", "urgent"},
             {"rate", 20},
             {"deadlineMs", 3000},
             {"keyed", true},
             {"duplicates", 0.2},
             {"resends", 3}},
            {{"service", "orders"},
             {"operation", "status"},
             {"rank", "normal"},
             {"rate", 20},
             {"deadlineMs", 1000}},
            {{"service", "catalogue"},
             {"operation", "find"},
             {"rank", "lookup"},
             {"rate", 60},
             {"deadlineMs", 1000},
             {"answerBytes", 20000}}}}};
}

void Scenario::startLoad(int Millis, bool LossAllowed) {
  Running.startLoad(plan(Millis, LossAllowed));
}

bool Scenario::waitForRuns(std::string_view Operation, std::size_t Count) {
  const std::size_t Before = Oracle(Running).runsOf(Operation);
  return waitUntil(
      [&] { return Oracle(Running).runsOf(Operation) >= Before + Count; });
}

std::string Scenario::finishLoad() {
  Result = Running.finishLoad();
  std::printf("%s", Result.Table.c_str());
  std::fflush(stdout);
  const Oracle Judge(Running);
  std::string Faults;
  if (Result.ExitStatus != 0)
    Faults += "wrong or missing answers: " + Result.Summary.dump(2) + "\n";
  addFaults(Faults, "not run", Judge.falseNotRuns());
  addFaults(Faults, "at most once", Judge.repeatedKeys());
  addFaults(Faults, "own answer", Judge.inventedAnswers());
  return Faults;
}

bool Scenario::recovers() {
  return waitUntil(
      [this] {
        startLoad(ProbeMillis, true);
        const LoadResult Probe = Running.finishLoad();
        std::size_t Requests = 0;
        for (const nlohmann::json &Rank : Probe.Summary.at("ranks"))
          Requests += Rank.at("requests").get<std::size_t>();
        return Requests > 0 && Probe.count("served") == Requests;
      },
      RecoveryTimeout);
}

} // namespace camphorpin::process
