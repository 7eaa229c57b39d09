// A chain of fake backend servers with seeded arrivals under virtual time.
// Calls pass from service to service through an AdmissionController and an
// UpstreamShedder or, as the measured baseline, through a FIFO queue with three
// retries at each hop and no deadlines.
#ifndef CAMPHORPIN_TESTS_ADMISSIONFIXTURE_H
#define CAMPHORPIN_TESTS_ADMISSIONFIXTURE_H

#include "camphorpin/Admission.h"
#include "camphorpin/src/Admission/AimdLimit.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <numeric>

namespace camphorpin::test {

enum class Mode : std::uint8_t { Camphorpin, Naive };

struct ServiceSpec {
  std::string_view Name;
  unsigned Servers = 1;
  std::uint32_t Slots = 10;
  double ServiceMs = 20;
  std::uint32_t QueueLimit = 100;
  bool CancelLowerRanks = false;
  /// Running calls from which a backend server slows down in proportion.
  double Knee = 1e9;
  /// Factor on the service time; changed during a run.
  double Slow = 1;
  std::function<std::unique_ptr<ConcurrencyLimit>(std::uint32_t Slots)> Limit =
      [](std::uint32_t Slots) { return std::make_unique<AimdLimit>(Slots); };
};

/// Poisson arrivals of one rank and caller, at services Entry..Entry+Depth-1.
struct Load {
  std::uint8_t Rank = 0;
  std::string_view Caller = "a";
  double PerSecond = 1;
  std::size_t Entry = 0, Depth = 1;
  Duration Deadline = Duration::seconds(1);
  double From = 0, Until = 1e9;
  /// Attempts that the client itself adds, at once after each failure.
  int ClientRetries = 0;
  /// Own service time instead of the service's, in ms.
  double ServiceMs = 0;
  bool Idempotent = true;
  /// Results per second of arrival.
  std::vector<double> Offered = {}, Good = {};

  /// \returns answers in time per second, for requests of these seconds.
  double rate(std::size_t First, std::size_t Last) const {
    return sum(Good, First, Last) / static_cast<double>(Last - First);
  }
  /// \returns the share of the requests that were answered in time.
  double share(std::size_t First, std::size_t Last) const {
    return sum(Good, First, Last) / std::max(1.0, sum(Offered, First, Last));
  }
  static double sum(std::vector<double> Of, std::size_t First,
                    std::size_t Last) {
    Of.resize(std::max(Of.size(), Last));
    return std::accumulate(Of.begin() + First, Of.begin() + Last, 0.0);
  }
};

class Server;

/// One attempt of one call at one service.
struct Call {
  Load *Source = nullptr;
  std::size_t Service = 0;
  Instant Created, Deadline;
  /// Executions and spent extra attempts of the whole request.
  std::shared_ptr<int> Executions, Extra;
  std::function<void(bool Ok)> Done;
  Server *At = nullptr;
  std::uint64_t Id = 0;
  bool Started = false, Settled = false, Cancelled = false;
  /// A service that was called for this call refused it; its shedding level.
  bool Refused = false;
  Rank Level = Rank(MaxRanks - 1);
  std::shared_ptr<Call> Child = nullptr;
  Duration Downstream = {};

  void settle(bool Ok) {
    if (!std::exchange(Settled, true))
      std::exchange(Done, nullptr)(Ok);
  }
};
using CallPtr = std::shared_ptr<Call>;

/// What a server needs of the chain.
struct Environment {
  Mode Kind;
  MeshPolicy Policy;
  SeededRandom Source{20261204};
  std::multimap<Instant, std::function<void()>> Events;
  Instant Now;
  double Executions = 0, Useful = 0, Cancels = 0;
  std::function<void(Call, UpstreamShedder &, CallPtr Parent)> CallNext;

  bool controlled() const { return Kind == Mode::Camphorpin; }
  double exponential(double Mean) {
    return -Mean * std::log(1 - Source.unit());
  }
  void after(Duration Span, std::function<void()> Run) {
    Events.emplace(Now + Span, std::move(Run));
  }
};

class Server final : public AdmissionListener {
public:
  Server(Environment &Env, const ServiceSpec &Spec, std::uint32_t Number)
      : Process{{Number, 1}, 1}, Env(Env), Spec(Spec) {
    ServicePolicy Policy{.Slots = Spec.Slots,
                         .QueueLimit = Spec.QueueLimit,
                         .CancelLowerRanks = Spec.CancelLowerRanks};
    Admission.emplace(Env.Policy, Policy, *this, Env.Now,
                      Spec.Limit(Spec.Slots));
  }
  void arrive(const CallPtr &In) {
    In->At = this;
    In->Id = NextId++;
    Calls.emplace(In->Id, In);
    const Load &From = *In->Source;
    if (!Env.controlled())
      return Running < Spec.Slots ? start(In->Id) : Fifo.push_back(In->Id);
    Admission->offer({In->Id, Rank(From.Rank), From.Idempotent,
                      Env.Now - In->Created, In->Deadline - Env.Now,
                      From.Caller, From.Entry * 8 + From.Rank},
                     Env.Now);
  }
  void start(std::uint64_t Id) override {
    const CallPtr Started = Calls.at(Id);
    Started->Started = true;
    ++*Started->Executions;
    ++Env.Executions;
    ++Running;
    const double Own = Started->Source->ServiceMs;
    const double Mean = (Own > 0 ? Own : Spec.ServiceMs) * Spec.Slow *
                        std::max(1.0, Running / Spec.Knee);
    // Half of the time is constant, half varies.
    Env.after(Duration::fromMillis(Mean / 2 + Env.exponential(Mean / 2)),
              [this, Started] { ownWorkDone(Started); });
  }
  void refuse(std::uint64_t Id, RefusalReason) override {
    Calls.extract(Id).mapped()->settle(false);
  }
  /// The backend server stops the work, and what it called, after 1 ms.
  void cancelRunning(std::uint64_t Id) override {
    ++Env.Cancels;
    Env.after(Duration::millis(1), [this, Stopped = Calls.at(Id)] {
      Stopped->Cancelled = true;
      if (Stopped->Child && Stopped->Child->At)
        Stopped->Child->At->abandon(Stopped->Child);
      end(Stopped, AdmissionOutcome::Cancelled, false);
    });
  }
  void abandon(const CallPtr &Gone) { Admission->cancelled(Gone->Id, Env.Now); }

  ProcessId Process;
  std::optional<AdmissionController> Admission;
  std::unordered_map<std::uint64_t, CallPtr> Calls;

private:
  void ownWorkDone(const CallPtr &Parent) {
    const Load &From = *Parent->Source;
    if (Parent->Cancelled || Parent->Service + 1 >= From.Entry + From.Depth)
      return end(Parent, AdmissionOutcome::Completed, true);
    const auto Done = [this, Parent, Begin = Env.Now](bool Ok) {
      Parent->Downstream = Env.Now - Begin;
      end(Parent, Ok ? AdmissionOutcome::Completed : AdmissionOutcome::Failed,
          Ok);
    };
    Env.CallNext({Parent->Source, Parent->Service + 1, Parent->Created,
                  Parent->Deadline, Parent->Executions, Parent->Extra, Done},
                 Shedder, Parent);
  }
  void end(const CallPtr &Ended, AdmissionOutcome Outcome, bool Ok) {
    if (Calls.erase(Ended->Id) == 0)
      return;
    --Running;
    Ended->Child.reset();
    Ended->settle(Ok);
    if (Env.controlled())
      Admission->finished(Ended->Id, Outcome, Env.Now, Ended->Downstream);
    else if (!Fifo.empty())
      start(std::exchange(Fifo.front(), 0)), Fifo.pop_front();
  }

  Environment &Env;
  const ServiceSpec &Spec;
  UpstreamShedder Shedder;
  std::deque<std::uint64_t> Fifo;
  std::uint64_t NextId = 1;
  std::size_t Running = 0;
};

class Chain : public Environment {
public:
  Chain(std::vector<ServiceSpec> Services, MeshPolicy Policy, Mode Kind)
      : Environment{Kind, std::move(Policy)}, Specs(std::move(Services)),
        RetryTokens(Specs.size()), Servers(Specs.size()) {
    CallNext = [this](Call Sent, UpstreamShedder &From, CallPtr Parent) {
      RetryTokens[Sent.Service] = std::min(10., RetryTokens[Sent.Service] + .1);
      attempt(Sent, From, Parent, 0);
    };
    for (std::size_t I = 0; I < Specs.size(); ++I)
      for (std::uint32_t Number = 0; Number < Specs[I].Servers; ++Number)
        Servers[I].push_back(std::make_unique<Server>(*this, Specs[I], Number));
    tick();
  }

  void add(Load &Added) {
    after(Duration::fromMillis(Added.From * 1000), [&] { arrivals(Added); });
  }

  void runUntil(double Seconds) {
    const Instant End = Instant() + Duration::fromMillis(Seconds * 1000);
    while (Events.begin()->first <= End) {
      const auto First = Events.extract(Events.begin());
      Now = First.key();
      First.mapped()();
    }
  }

  std::vector<ServiceSpec> Specs;
  std::vector<double> RetryTokens;
  std::vector<std::vector<std::unique_ptr<Server>>> Servers;

private:
  void tick() {
    for (auto &Group : Servers)
      for (auto &Each : Group)
        Each->Admission->tick(Now);
    after(Duration::millis(20), [this] { tick(); });
  }

  /// The baseline retries three times; otherwise the whole request has three
  /// extra attempts, and an edge has one retry per ten first attempts.
  /// Only the hop directly above a refusal retries.
  bool mayRetry(const Call &Failed, const CallPtr &Parent, int Made, bool Ran) {
    if (!controlled())
      return Made < 3;
    if (Ran || Now >= Failed.Deadline || (Parent && Parent->Cancelled) ||
        *Failed.Extra >= 3 || RetryTokens[Failed.Service] < 1)
      return false;
    ++*Failed.Extra;
    RetryTokens[Failed.Service] -= 1;
    return true;
  }

  void attempt(const Call &Sent, UpstreamShedder &From, const CallPtr &Parent,
               int Made) {
    const CallPtr Attempt = std::make_shared<Call>(Sent);
    const CallTarget To{ServiceName(Specs[Sent.Service].Name),
                        OperationName(Sent.Source->Caller)};
    if (Parent)
      Parent->Child = Attempt;
    Attempt->Done = [=, this, &From, Of = Attempt.get()](bool Ok) {
      const bool Accepted = Ok || (Of->Started && !Of->Refused);
      if (Of->At && controlled())
        From.observe(
            {To, Of->At->Process, Rank(Of->Source->Rank), Of->Source->Caller,
             std::min(Of->Level, Of->At->Admission->sheddingLevel()), Accepted},
            Now);
      if (Parent)
        Parent->Level = std::min(Parent->Level, From.level(To, Now));
      if (!Ok && mayRetry(Sent, Parent, Made, Of->Started))
        return attempt(Sent, From, Parent, Made + 1);
      if (Parent)
        Parent->Refused |= !Accepted;
      Sent.Done(Ok);
    };
    // Sending at once would recurse through all retries.
    after(Duration(), [=, this, &From] {
      if (!controlled() || From.admit(To, Rank(Attempt->Source->Rank),
                                      Attempt->Source->Caller, Now))
        send(Attempt);
      else
        Attempt->settle(false);
    });
  }

  void send(const CallPtr &Sent) {
    auto &Group = Servers[Sent->Service];
    Server *First = Group[Source.below(Group.size())].get();
    Server *Second = Group[Source.below(Group.size())].get();
    Server *To = First->Calls.size() <= Second->Calls.size() ? First : Second;
    To->arrive(Sent);
    // Without deadlines a hop gives up too, but the work goes on.
    after(controlled() ? Sent->Deadline - Now : Sent->Source->Deadline,
          [this, Sent] {
            if (!Sent->Settled && controlled())
              Sent->At->abandon(Sent);
            Sent->settle(false);
          });
  }

  void arrivals(Load &Of) {
    const std::size_t Second = Now.wholeMillis() / 1000;
    Of.Offered.resize(std::max(Of.Offered.size(), Second + 1));
    Of.Good.resize(Of.Offered.size());
    Of.Offered[Second] += 1;
    clientAttempt(Of, Second, Of.ClientRetries);
    const Duration Gap = Duration::fromMillis(exponential(1000 / Of.PerSecond));
    if ((Now + Gap).wholeMillis() < Of.Until * 1000)
      after(Gap, [this, &Of] { arrivals(Of); });
  }

  void clientAttempt(Load &Of, std::size_t Second, int Retries) {
    const auto Runs = std::make_shared<int>(0);
    const Instant Deadline = Now + Of.Deadline;
    const auto Done = [=, this, &Of](bool Ok) {
      const bool InTime = Ok && Now <= Deadline;
      Useful += InTime ? *Runs : 0;
      Of.Good[Second] += InTime ? 1 : 0;
      if (!InTime && Retries > 0)
        clientAttempt(Of, Second, Retries - 1);
    };
    CallNext(
        {&Of, Of.Entry, Now, Deadline, Runs, std::make_shared<int>(0), Done},
        Ingress, nullptr);
  }

  UpstreamShedder Ingress;
};

} // namespace camphorpin::test

#endif
