// Clients read one popular page. One of the workers that serve it crashes and
// is back soon; the others run all the while.
#include "Fleet.h"

#include <atomic>
#include <iostream>
#include <thread>

using namespace review;

namespace {

constexpr int Clients = 30;
constexpr std::int64_t WorkMillis = 160;
constexpr std::int64_t ThinkMillis = 220;
/// One of them crashes: no more than the share of 0.14 in the site file.
constexpr std::size_t WorkerCount = 8;
constexpr std::int64_t BeforeMillis = 5000;
/// How long the crashed worker is down.
constexpr std::int64_t DownMillis = 4500;
constexpr std::int64_t JudgedMillis = 10000;
constexpr std::int64_t DeadlineMillis = 6000;

/// \brief The part of the day in which a request is sent.
enum class Period { Before, Between, Late };

/// \brief Counts of one period.
struct Counts {
  std::atomic<int> Sent = 0;
  std::atomic<int> Served = 0;

  double share() const {
    return Sent == 0 ? 0 : static_cast<double>(Served) / Sent;
  }
};

/// \class Readers
/// \brief Clients that read the page again and again.
class Readers {
public:
  explicit Readers(Fleet &Deployment) : Deployment(Deployment) {
    for (int Index = 0; Index < Clients; ++Index)
      Threads.emplace_back([this] { read(); });
  }

  void enter(Period Value) { Current = Value; }

  void stop() {
    Ended = true;
    for (std::thread &Item : Threads)
      Item.join();
  }

  const Counts &counts(Period Value) const {
    return Value == Period::Before ? Before : Late;
  }

private:
  void read() {
    while (!Ended) {
      const Period Sent = Current;
      const HttpMessage Answer = send();
      Counts &Target = Sent == Period::Before ? Before : Late;
      if (Sent != Period::Between) {
        ++Target.Sent;
        if (Answer.status() == 200)
          ++Target.Served;
      }
      sleepMillis(ThinkMillis);
    }
  }

  HttpMessage send() {
    Request Call;
    Call.Target = "/browse/mixes";
    const std::string Id = nextId();
    Call.Headers = {{"Request-Id", Id},
                    {"Deadline-Ms", std::to_string(DeadlineMillis)}};
    const Node &Gate = *Deployment.Machines.front()->Gate;
    Deployment.Log.write("sent " + Id + " " + Call.Target + " to " +
                         Gate.name());
    HttpMessage Answer = exchange(Gate.outbound(), Call, DeadlineMillis + 1000)
                             .value_or(HttpMessage());
    Deployment.Log.write("answered " + Id + " " +
                         std::to_string(Answer.status()) + " " + Answer.Body);
    return Answer;
  }

  std::string nextId() { return "r" + std::to_string(++Number); }

  Fleet &Deployment;
  std::atomic<unsigned> Number = 0;
  std::atomic<bool> Ended = false;
  std::atomic<Period> Current = Period::Before;
  Counts Before;
  Counts Late;
  std::vector<std::thread> Threads;
};

/// \returns the exit status.
int play(Fleet &Deployment) {
  constexpr unsigned Slots = 46;
  Deployment.add("catalogue", 'a', Slots, WorkMillis);
  Worker &Crashing = *Deployment.add("kartoteka", 'a', Slots, WorkMillis).App;
  for (std::size_t Index = 1; Index < WorkerCount; ++Index)
    Deployment.add("kartoteka", static_cast<char>('a' + Index % 3), Slots,
                   WorkMillis);
  if (!Deployment.start(configuration(7, {{"browse", "/browse/", "kartoteka"}},
                                      {"catalogue", "kartoteka"})))
    return CouldNotRun;
  Readers Load(Deployment);
  sleepMillis(BeforeMillis);
  Load.enter(Period::Between);
  if (withTrouble())
    Crashing.crash();
  sleepMillis(DownMillis);
  if (withTrouble())
    Crashing.restart();
  sleepMillis(RecoverMillis);
  Load.enter(Period::Late);
  sleepMillis(JudgedMillis);
  Load.stop();
  const Counts &Before = Load.counts(Period::Before);
  const Counts &Late = Load.counts(Period::Late);
  if (Before.share() < 0.25 || Late.Sent == 0)
    return CouldNotRun;
  const std::string Line =
      "served before: " + std::to_string(Before.Served) + " of " +
      std::to_string(Before.Sent) +
      "; sent later than recover_s after the worker was back: " +
      std::to_string(Late.Served) + " of " + std::to_string(Late.Sent);
  Deployment.Log.write(Line);
  std::cout << Line << "\n";
  return Late.share() < 0.25 ? RuleBroken : RuleHeld;
}

} // namespace

int main(int Count, char **Arguments) {
  Fleet Deployment(caseFolder(Count, Arguments));
  Deployment.end(play(Deployment));
}
