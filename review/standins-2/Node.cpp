#include "Node.h"

#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <mutex>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

/// grace_s of the bounds.
constexpr std::int64_t GraceMillis = 6000;
constexpr const char *Program = "target/bin/camphorpind";

/// Runs \p Job on a thread that lives as long as this process. The system ends
/// a child with the thread that forked it (PR_SET_PDEATHSIG).
void runOnForkingThread(std::function<void()> Job) {
  static std::mutex Mutex;
  static std::condition_variable Changed;
  static std::function<void()> Pending;
  static std::once_flag Started;
  std::call_once(Started, [] {
    std::thread([] {
      std::unique_lock<std::mutex> Lock(Mutex);
      for (;;) {
        Changed.wait(Lock, [] { return Pending != nullptr; });
        Pending();
        Pending = nullptr;
        Changed.notify_all();
      }
    }).detach();
  });
  static std::mutex Callers;
  const std::lock_guard<std::mutex> OneCaller(Callers);
  std::unique_lock<std::mutex> Lock(Mutex);
  Pending = std::move(Job);
  Changed.notify_all();
  Changed.wait(Lock, [] { return Pending == nullptr; });
}

/// \returns the id of a new process of the program.
pid_t forkNode(const std::string &Settings, const std::string &LogFile) {
  const pid_t Result = ::fork();
  if (Result != 0)
    return Result;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int Output =
      ::open(LogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  ::dup2(Output, STDOUT_FILENO);
  ::dup2(Output, STDERR_FILENO);
  ::execl(Program, Program, "--settings", Settings.c_str(), nullptr);
  ::_exit(127);
}

std::string address(std::uint16_t Port) {
  return "\"127.0.0.1:" + std::to_string(Port) + "\"";
}

} // namespace

Node::Node(NodeOptions Options, Record &Log)
    : Options(std::move(Options)), Log(Log) {}

Node::~Node() { kill(); }

std::string Node::settingsFile() const {
  return Options.Folder + "/" + Options.Name + ".json";
}

void Node::writeSettings() const {
  // The template of the deploy file, filled in for a small deployment.
  std::ofstream File(settingsFile());
  File << "{ \"gateway\": {\n  \"node\": \"" << Options.Name
       << "\",\n  \"zone\": \"" << Options.Zone << "\",\n  \"service\": \""
       << Options.Service << "\",\n  \"callAddress\": " << address(Outbound)
       << ",\n  \"readyAddress\": " << address(Ready)
       << ",\n  \"reportAddress\": " << address(Control)
       << ",\n  \"peerAddress\": " << address(Peers)
       << ",\n  \"metricsAddress\": " << address(Metrics)
       << ",\n  \"backendAddress\": " << address(Options.WorkerPort)
       << ",\n  \"storeAddress\": " << address(Options.StorePort)
       << ",\n  \"firstStart\": " << (FirstStart ? "true" : "false")
       << ",\n  \"memoryMb\": 260,\n  \"maxDescriptors\": 4100,\n"
       << "  \"platformBounds\": [\"seed_lag_s=3\",\"addr_reuse_s=2\","
       << "\"stable_window_ms=3000\",\"ack_ms=4000\",\"catch_up_s=4\","
       << "\"drain_ms=2000\",\"grace_s=6\",\"loss_slack_ms=200\","
       << "\"config_apply_ms=2000\",\"rollback_slack_ms=250\","
       << "\"outer_bound_ms=5000\",\"retry_budget_ratio=0.2\","
       << "\"budget_window_s=10\",\"budget_slack=49\",\"recover_s=15\"]\n} }\n";
}

void Node::start() {
  writeSettings();
  const std::string Settings = settingsFile();
  const std::string LogFile = Options.Folder + "/" + Options.Name + ".log";
  runOnForkingThread([&] { Process = forkNode(Settings, LogFile); });
  FirstStart = false;
  Started = nowMillis();
  Log.write("node " + name() + " starts");
}

bool Node::waitForEnd(std::int64_t Millis) {
  constexpr std::int64_t StepMillis = 10;
  const std::int64_t End = nowMillis() + Millis;
  while (::waitpid(Process, nullptr, WNOHANG) != Process) {
    if (nowMillis() >= End)
      return false;
    sleepMillis(StepMillis);
  }
  Process = -1;
  return true;
}

void Node::stop() {
  Log.write("node " + name() + " gets SIGTERM");
  ::kill(Process, SIGTERM);
  if (!waitForEnd(GraceMillis))
    kill();
  Log.write("node " + name() + " has ended");
}

void Node::kill() {
  if (Process <= 0)
    return;
  ::kill(Process, SIGKILL);
  ::waitpid(Process, nullptr, 0);
  Process = -1;
}

bool Node::endedByItself() {
  if (Process <= 0 || ::waitpid(Process, nullptr, WNOHANG) != Process)
    return false;
  Process = -1;
  return true;
}

int Node::readyStatus() const {
  constexpr std::int64_t TimeoutMillis = 1000;
  Request Call;
  Call.Target = "/ready";
  const std::optional<HttpMessage> Answer =
      exchange(Ready, Call, TimeoutMillis);
  return Answer ? Answer->status() : 0;
}

} // namespace review
