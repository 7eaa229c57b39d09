// One request crashes each worker that begins to run it, and comes again. The
// machines of the system are stopped and started in turn.
#include "Fleet.h"

#include <algorithm>
#include <iostream>
#include <random>
#include <set>
#include <thread>

using namespace review;

namespace {

constexpr std::size_t MachineCount = 12;
constexpr std::int64_t GapMillis = 2000;
constexpr std::int64_t StartDelayMillis = 500;
/// How long a crashed worker is down.
constexpr std::int64_t DownMillis = 2000;
constexpr std::int64_t PauseMillis = 1000;
/// Pause between the ordinary requests of the clients of one machine.
constexpr std::int64_t OrdinaryPauseMillis = 100;
constexpr std::int64_t BeforeMillis = 6000;
constexpr std::int64_t AfterMillis = 8000;
constexpr std::int64_t DeadlineMillis = 5000;
/// Retries that the rule allows.
constexpr std::size_t AllowedRetries = 3;
const std::string CrashingPath = "/orders/crash";

/// \brief A request of the client that repeats.
struct Attempt {
  std::string RequestId;
  std::int64_t SentMillis = 0;
};

/// \class RollingDeployment
/// \brief Machines that are restarted in turn while one request comes again and
/// again at machines in touch.
class RollingDeployment {
public:
  explicit RollingDeployment(const std::string &Folder) : Deployment(Folder) {
    constexpr unsigned Slots = 46;
    constexpr std::int64_t WorkMillis = 20;
    for (std::size_t Index = 0; Index < MachineCount; ++Index) {
      Machine &Added = Deployment.add(
          "orders", static_cast<char>('a' + Index % 3), Slots, WorkMillis);
      Added.App->crashOn(CrashingPath, DownMillis);
      Stopping.push_back(false);
    }
  }

  bool start() {
    return Deployment.start(
        configuration(7, {{"orders", "/orders/", "orders"}}, {"orders"}));
  }

  /// Starts the ordinary clients of each machine.
  void startTraffic() {
    for (std::size_t Index = 0; Index < MachineCount; ++Index)
      std::thread([this, Index] { sendOrdinary(Index); }).detach();
  }

  /// Sends the request for \p Millis.
  void repeat(std::int64_t Millis) {
    const std::int64_t End = nowMillis() + Millis;
    while (nowMillis() < End) {
      sendOnce();
      sleepMillis(PauseMillis);
    }
  }

  /// Sends SIGTERM to the machines, one each GapMillis, and starts each again.
  /// The request comes all the while.
  void roll() {
    std::vector<std::thread> Restarts;
    std::thread Repeating([this] { repeat(GapMillis * MachineCount); });
    for (std::size_t Index = 0; Index < MachineCount; ++Index) {
      if (withTrouble())
        Restarts.emplace_back([this, Index] { restart(Index); });
      sleepMillis(GapMillis);
    }
    Repeating.join();
    for (std::thread &Item : Restarts)
      Item.join();
  }

  /// \returns the retries that reached a worker and were sent later than the
  /// stable window after the third crash.
  std::size_t lateRetries() const {
    const std::vector<Run> Crashes = crashingRuns();
    if (Crashes.size() < 3)
      return 0;
    const std::int64_t From = Crashes[2].AtMillis + StableWindowMillis;
    std::set<std::string> Late;
    for (const Run &Crash : Crashes)
      for (const Attempt &Item : Attempts)
        if (Item.RequestId == Crash.RequestId && Item.SentMillis > From)
          Late.insert(Item.RequestId);
    return Late.size();
  }

  std::size_t crashes() const { return crashingRuns().size(); }

  Fleet &fleet() { return Deployment; }

private:
  /// \returns the runs that have crashed a worker, the first one first.
  std::vector<Run> crashingRuns() const {
    std::vector<Run> Result;
    for (const std::unique_ptr<Machine> &Item : Deployment.Machines)
      for (Run &Crash : Item->App->runs())
        if (Crash.Target == CrashingPath)
          Result.push_back(std::move(Crash));
    std::sort(Result.begin(), Result.end(), [](const Run &A, const Run &B) {
      return A.AtMillis < B.AtMillis;
    });
    return Result;
  }

  void restart(std::size_t Index) {
    Node &Gate = *Deployment.Machines[Index]->Gate;
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      Stopping[Index] = true;
    }
    Gate.stop();
    sleepMillis(StartDelayMillis);
    const std::lock_guard<std::mutex> Lock(Mutex);
    Gate.start();
    Stopping[Index] = false;
  }

  void sendOrdinary(std::size_t Index) {
    const Node &Gate = *Deployment.Machines[Index]->Gate;
    for (unsigned Number = 1;; ++Number) {
      Request Call;
      Call.Target = "/orders/" + std::to_string(Number);
      Call.Headers = {
          {"Request-Id", Gate.name() + "." + std::to_string(Number)},
          {"Deadline-Ms", std::to_string(DeadlineMillis)}};
      (void)exchange(Gate.outbound(), Call, DeadlineMillis);
      sleepMillis(OrdinaryPauseMillis);
    }
  }

  /// \returns a random machine that is in touch, or null.
  const Machine *machineInTouch() {
    constexpr std::int64_t SlackMillis = 200;
    const std::lock_guard<std::mutex> Lock(Mutex);
    std::vector<const Machine *> Choices;
    for (std::size_t Index = 0; Index < MachineCount; ++Index) {
      const Machine &Item = *Deployment.Machines[Index];
      const std::int64_t Age = nowMillis() - Item.Gate->startedMillis();
      if (!Stopping[Index] && Age > StableWindowMillis + SlackMillis)
        Choices.push_back(&Item);
    }
    if (Choices.empty())
      return nullptr;
    return Choices[Random() % Choices.size()];
  }

  void sendOnce() {
    const Machine *At = machineInTouch();
    if (At == nullptr)
      return;
    const std::int64_t Sent = nowMillis();
    const HttpMessage Answer =
        Deployment.send(*At, CrashingPath, DeadlineMillis);
    Attempts.push_back({Answer.header("request-id"), Sent});
  }

  Fleet Deployment;
  std::mt19937 Random{37};
  std::mutex Mutex;
  std::vector<bool> Stopping;
  std::vector<Attempt> Attempts;
};

/// \returns the exit status.
int play(RollingDeployment &Deployment) {
  if (!Deployment.start())
    return CouldNotRun;
  Deployment.startTraffic();
  sleepMillis(StableWindowMillis);
  Deployment.repeat(BeforeMillis);
  if (Deployment.crashes() == 0)
    return CouldNotRun;
  Deployment.roll();
  Deployment.repeat(AfterMillis);
  const std::size_t Late = Deployment.lateRetries();
  const std::string Line = std::to_string(Late) +
                           " retries, sent by machines in touch more than 3 s "
                           "after the third crash, "
                           "reached workers; " +
                           std::to_string(Deployment.crashes()) +
                           " crashes in all";
  Deployment.fleet().Log.write(Line);
  std::cout << Line << "\n";
  return Late > AllowedRetries ? RuleBroken : RuleHeld;
}

} // namespace

int main(int Count, char **Arguments) {
  RollingDeployment Deployment(caseFolder(Count, Arguments));
  Deployment.fleet().end(play(Deployment));
}
