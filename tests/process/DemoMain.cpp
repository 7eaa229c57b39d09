#include "Mesh.h"

#include <cstdio>

namespace {

using namespace camphorpin::process;

constexpr int WorkersPerService = 3;
constexpr int LoadMillis = 20000;

/// Several callers, all ranks, the chain of non-idempotent calls and resends.
nlohmann::json mixedLoad() {
  return {{"seed", 7},
          {"durationMs", LoadMillis},
          {"threads", 96},
          {"streams",
           {{{"service", "orders"},
             {"operation", "pay"},
             {"caller", "shop"},
             {"rank", "urgent"},
             {"rate", 40},
             {"deadlineMs", 3000},
             {"keyed", true},
             {"duplicates", 0.05},
             {"resends", 2}},
            {{"service", "orders"},
             {"operation", "status"},
             {"caller", "shop"},
             {"rank", "normal"},
             {"rate", 60},
             {"deadlineMs", 1000}},
            {{"service", "lots"},
             {"operation", "find"},
             {"caller", "cooperative"},
             {"rank", "normal"},
             {"rate", 60},
             {"deadlineMs", 1000}},
            {{"service", "catalogue"},
             {"operation", "find"},
             {"caller", "website"},
             {"rank", "lookup"},
             {"rate", 150},
             {"deadlineMs", 1000},
             {"answerBytes", 20000}}}}};
}

/// Drains all nodes.
/// \returns the number of nodes that ended with status 0.
std::size_t drainAll(Mesh &Running) {
  for (Worker &Target : Running.workers())
    Target.Node->terminate();
  std::size_t Clean = 0;
  for (Worker &Target : Running.workers())
    if (waitUntil([&] { return Target.Node->poll().has_value(); }) &&
        Target.Node->poll() == 0)
      ++Clean;
  return Clean;
}

} // namespace

int main() {
  Mesh Running(Mesh::shop(WorkersPerService));
  std::printf("starting %zu backend servers and nodes\n",
              Running.workers().size());
  std::fflush(stdout);
  if (!Running.startNodes()) {
    std::fprintf(stderr, "the nodes did not all start serving\n");
    return 1;
  }
  const int Published = Running.publishDocuments();
  std::fputs(readFile(Running.directory() + "/publish.out").c_str(), stdout);
  if (Published != 0)
    return 1;
  std::printf("sending a mixed load for %d s\n", LoadMillis / 1000);
  std::fflush(stdout);
  Running.startLoad(mixedLoad());
  const LoadResult Result = Running.finishLoad();
  std::fputs(Result.Table.c_str(), stdout);
  std::printf("nodes that drained and ended cleanly: %zu of %zu\n",
              drainAll(Running), Running.workers().size());
  return Result.ExitStatus;
}
