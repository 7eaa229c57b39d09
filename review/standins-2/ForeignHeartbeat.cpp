// Another writer sends one odd heartbeat. Later the worker leaves as planned,
// and its node acknowledges that.
#include "Fleet.h"

#include <algorithm>
#include <atomic>
#include <iostream>
#include <thread>

using namespace review;

namespace {

/// A number too large: 2 to the power of 64, less one.
const std::string LargestNumber = "18446744073709551615";
constexpr std::int64_t BeforeDrainMillis = 3000;
/// How long the worker serves after the acknowledgement: drain_ms and some
/// seconds.
constexpr std::int64_t ServesMillis = DrainMillis + 4000;
constexpr std::int64_t AfterwardsMillis = 2000;
constexpr std::int64_t PauseMillis = 50;
constexpr std::int64_t DeadlineMillis = 5000;

/// \brief What the clients have seen.
struct Answers {
  std::atomic<int> Served = 0;
  std::atomic<int> Other = 0;
};

void sendUntil(Fleet &Deployment, const std::atomic<bool> &Ended,
               Answers &Seen) {
  while (!Ended) {
    const HttpMessage Answer = Deployment.send(*Deployment.Machines.front(),
                                               "/orders/next", DeadlineMillis);
    ++(Answer.status() == 200 ? Seen.Served : Seen.Other);
    sleepMillis(PauseMillis);
  }
}

/// \returns the exit status.
int play(Fleet &Deployment) {
  constexpr unsigned Slots = 46;
  constexpr std::int64_t WorkMillis = 100;
  Deployment.add("catalogue", 'a', Slots, WorkMillis);
  // The worker in the zone of the clients gets most of the requests.
  Worker &Leaving = *Deployment.add("orders", 'a', Slots, WorkMillis).App;
  Deployment.add("orders", 'b', Slots, WorkMillis);
  if (!Deployment.start(configuration(7, {{"orders", "/orders/", "orders"}},
                                      {"catalogue", "orders"})))
    return CouldNotRun;
  Answers Seen;
  std::atomic<bool> Ended = false;
  std::thread Clients([&] { sendUntil(Deployment, Ended, Seen); });
  sleepMillis(StableWindowMillis);
  if (withTrouble())
    (void)Leaving.sendForeignHeartbeat(LargestNumber);
  sleepMillis(BeforeDrainMillis);
  const std::int64_t Acknowledged = Leaving.drain();
  if (Acknowledged >= 0)
    sleepMillis(ServesMillis);
  const int ServedBefore = Seen.Served;
  const int OtherBefore = Seen.Other;
  Leaving.leave();
  sleepMillis(AfterwardsMillis);
  Ended = true;
  Clients.join();
  if (Acknowledged < 0 || ServedBefore == 0)
    return CouldNotRun;
  const std::vector<Run> Runs = Leaving.runs();
  const std::ptrdiff_t Late =
      std::count_if(Runs.begin(), Runs.end(), [&](const Run &Item) {
        return Item.AtMillis > Acknowledged + DrainMillis;
      });
  const std::string Line =
      std::to_string(Late) +
      " requests reached the worker later than drain_ms after its node had "
      "acknowledged that it is draining; answers other than 200: " +
      std::to_string(OtherBefore) + " until it left, " +
      std::to_string(Seen.Other - OtherBefore) + " after it";
  Deployment.Log.write(Line);
  std::cout << Line << "\n";
  return Late > 0 ? RuleBroken : RuleHeld;
}

} // namespace

int main(int Count, char **Arguments) {
  Fleet Deployment(caseFolder(Count, Arguments));
  Deployment.end(play(Deployment));
}
