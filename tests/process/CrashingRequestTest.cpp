#include "Scenario.h"

#include <atomic>
#include <criterion/criterion.h>
#include <map>
#include <thread>

using namespace camphorpin::process;

namespace {

/// Crashes that one request may cause: the first makes it a suspect, the second
/// has it refused everywhere.
constexpr std::size_t AllowedCrashes = 2;
constexpr int Resends = 4;
/// Time for the news of a crash to reach all nodes. Until then further crashes
/// are possible by design.
constexpr int NewsMillis = 2000;

/// Starts backend servers again when they have crashed, as a host does.
class Restarter {
public:
  explicit Restarter(Mesh &Running)
      : Running(Running), Thread([this] { run(); }) {}
  ~Restarter() {
    Stopping = true;
    Thread.join();
  }

private:
  void run() {
    while (!Stopping) {
      for (Worker &Target : Running.workers())
        if (Target.Backend->poll())
          Running.startBackend(Target);
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
  }

  Mesh &Running;
  std::atomic<bool> Stopping = false;
  std::thread Thread;
};

} // namespace

/// Guards against a request that crashes each backend server which runs it
/// while its caller sends it again and again.
Test(CrashingRequest, oneRequestCrashesAtMostTwoBackendServers) {
  Scenario Case(3);
  cr_assert(Case.start());
  // It stays until the end: a server that crashes last is restarted too.
  const Restarter Host(Case.mesh());
  Case.mesh().startLoad({{"seed", 3},
                         {"durationMs", 3000},
                         {"streams",
                          {{{"service", "catalogue"},
                            {"operation", "find"},
                            {"rank", "lookup"},
                            {"rate", 2},
                            {"crash", true},
                            {"resends", Resends},
                            {"resendPauseMs", NewsMillis}}}}});
  const std::string Faults = Case.finishLoad();
  cr_assert(Faults.empty(), "%s", Faults.c_str());
  const Oracle Judge(Case.mesh());
  const std::map<std::string, std::size_t> Crashes =
      Judge.runsById("catalogue/find", "3000-");
  cr_assert_gt(Crashes.size(), 0);
  for (const auto &[Id, Count] : Crashes)
    cr_assert_leq(Count, AllowedCrashes, "request %s crashed %zu servers",
                  Id.c_str(), Count);
  cr_assert(Case.recovers());
}
