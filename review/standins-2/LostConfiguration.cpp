// The store comes back from a copy that is some seconds old, and the operator
// goes on. A configuration that the store acknowledges then must be in force
// on all nodes within the bound.
#include "Fleet.h"

#include <array>
#include <iostream>

using namespace review;

namespace {

/// How old the copy is when the store goes away: two configurations were
/// acknowledged since.
constexpr std::int64_t SinceCopyMillis = 300;
/// Pause between configurations that come in quick succession.
constexpr std::int64_t StormGapMillis = 330;
constexpr std::int64_t BeforeDrillMillis = 1000;
/// How long the store is away in each drill.
constexpr std::array<std::int64_t, 3> AwayMillis = {1400, 2000, 3000};
/// Pause between the operator's configuration of before, written again, and the
/// next one.
constexpr std::int64_t AfterDrillMillis = 100;
/// Requests sent later than this after the acknowledgement count.
constexpr std::int64_t JudgedFromMillis =
    StableWindowMillis + OuterBoundMillis + ConfigApplyMillis;
constexpr std::int64_t JudgedMillis = 4000;
constexpr std::int64_t PauseMillis = 200;
constexpr std::int64_t DeadlineMillis = 5000;

/// The services between which the route moves.
const std::string First = "lots";
const std::string Second = "orders";

std::string document(unsigned Version, const std::string &Service,
                     std::int64_t TimeoutMillis) {
  return configuration(Version,
                       {{"reserve", "/reserve/", Service, TimeoutMillis, 1000}},
                       {"catalogue", First, Second});
}

struct Judgement {
  int Requests = 0;
  int RunByOldService = 0;
};

/// Moves the route from \p Before to \p After, and judges the requests that are
/// sent later than the bound.
Judgement playRound(Fleet &Deployment, std::size_t Round,
                    const std::string &Before, const std::string &After) {
  const unsigned Version = 12U + 10U * static_cast<unsigned>(Round);
  const Store::Topics Copy = Deployment.Platform.copy();
  sleepMillis(SinceCopyMillis);
  Deployment.publish(document(Version, Before, 4900));
  sleepMillis(StormGapMillis);
  const std::string Newest = document(Version + 2, Before, 4800);
  Deployment.publish(Newest);
  sleepMillis(BeforeDrillMillis);
  if (withTrouble()) {
    Deployment.Log.write("the store is away");
    Deployment.Platform.goAway();
    sleepMillis(AwayMillis.at(Round));
    Deployment.Platform.comeBack(Copy);
    Deployment.Log.write("the store is back from a copy, one era later");
    Deployment.publish(Newest);
    sleepMillis(AfterDrillMillis);
  }
  const std::int64_t Acknowledged =
      Deployment.publish(document(Version + 5, After, 4700));
  sleepMillis(JudgedFromMillis);
  Judgement Result;
  while (nowMillis() < Acknowledged + JudgedFromMillis + JudgedMillis) {
    for (const std::unique_ptr<Machine> &Item : Deployment.Machines) {
      const HttpMessage Answer =
          Deployment.send(*Item, "/reserve/lot", DeadlineMillis);
      ++Result.Requests;
      if (Answer.status() == 200 && Answer.Body.starts_with(Before + " "))
        ++Result.RunByOldService;
    }
    sleepMillis(PauseMillis);
  }
  return Result;
}

/// \returns the exit status.
int play(Fleet &Deployment) {
  constexpr unsigned Slots = 46;
  constexpr std::int64_t WorkMillis = 15;
  Deployment.add("catalogue", 'a', Slots, WorkMillis);
  Deployment.add(First, 'b', Slots, WorkMillis);
  Deployment.add(Second, 'c', Slots, WorkMillis);
  if (!Deployment.start(document(7, First, 5000)))
    return CouldNotRun;
  const HttpMessage Initial = Deployment.send(*Deployment.Machines.front(),
                                              "/reserve/lot", DeadlineMillis);
  if (Initial.status() != 200)
    return CouldNotRun;
  for (std::size_t Round = 0; Round < AwayMillis.size(); ++Round) {
    const bool Forth = Round % 2 == 0;
    const Judgement Result = playRound(
        Deployment, Round, Forth ? First : Second, Forth ? Second : First);
    const std::string Line =
        "round " + std::to_string(Round + 1) + ": " +
        std::to_string(Result.RunByOldService) + " of " +
        std::to_string(Result.Requests) +
        " requests sent 10 s or more after the acknowledgement were run by the "
        "service of the version before";
    Deployment.Log.write(Line);
    std::cout << Line << "\n";
    if (Result.RunByOldService > 0)
      return RuleBroken;
  }
  return RuleHeld;
}

} // namespace

int main(int Count, char **Arguments) {
  Fleet Deployment(caseFolder(Count, Arguments));
  Deployment.end(play(Deployment));
}
