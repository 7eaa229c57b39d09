#include "camphorpin/src/Daemon/BackendRunners.h"

#include "camphorpin/src/Daemon/BackendClient.h"

#include <optional>
#include <utility>

namespace camphorpin {

namespace {

constexpr std::size_t MaxWaitingJobs = 4096;
constexpr std::size_t MaxWaitingCancellations = 1024;
constexpr Duration PopTimeout = Duration::seconds(1);

} // namespace

BackendRunners::BackendRunners(const BackendSettings &Settings,
                               const HttpLimits &Limits, const Clock &Time,
                               EventQueue &Events)
    : Settings(Settings), Limits(Limits), Time(Time), Events(Events),
      Jobs(MaxWaitingJobs), Cancellations(MaxWaitingCancellations) {}

BackendRunners::~BackendRunners() { stop(); }

void BackendRunners::start() {
  for (std::size_t Index = 0; Index < Settings.Connections; ++Index)
    Threads.emplace_back([this] { runAll(); });
  Threads.emplace_back([this] { cancelAll(); });
}

void BackendRunners::stop() {
  Jobs.close();
  Cancellations.close();
  for (std::thread &Entry : Threads)
    Entry.join();
  Threads.clear();
}

void BackendRunners::runAll() {
  BackendClient Client(Settings.Address, Limits.Body, Time);
  while (true) {
    std::optional<BackendJob> Job = Jobs.pop(PopTimeout);
    if (Job)
      Events.complete(Client.run(*Job));
    else if (Jobs.closed())
      return;
  }
}

void BackendRunners::cancelAll() {
  BackendClient Client(Settings.Address, Limits.Body, Time);
  while (true) {
    std::optional<std::string> Token = Cancellations.pop(PopTimeout);
    if (Token)
      Client.cancel(*Token);
    else if (Cancellations.closed())
      return;
  }
}

} // namespace camphorpin
