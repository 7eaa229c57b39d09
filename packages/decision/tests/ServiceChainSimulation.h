// Discrete-event simulation of a chain of services with seeded arrivals. Calls
// pass from service to service through admission control, shedding and retries
// or, as the baseline, through a FIFO queue with three retries at each hop and
// no deadlines.
#ifndef CAMPHORPIN_TESTS_SERVICECHAINSIMULATION_H
#define CAMPHORPIN_TESTS_SERVICECHAINSIMULATION_H

#include "camphorpin/Admission.h"
#include "camphorpin/Retry.h"
#include "camphorpin/src/Admission/AimdLimit.h"

#include <cmath>
#include <deque>
#include <functional>
#include <numeric>

namespace camphorpin::test {

enum class Mode : std::uint8_t { Camphorpin, Baseline };

struct ServiceSpec {
  std::string_view Name;
  unsigned Servers = 1;
  std::uint32_t Slots = 10;
  double ServiceMs = 20;
  std::uint32_t QueueLimit = 100;
  bool CancelLowerRanks = false;
  /// Concurrency above which the service time grows in proportion to it.
  double Knee = 1e9;
  /// Factor on the service time; changed during a run.
  double SlowdownFactor = 1;
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
  /// Retries by the client itself, immediately after each failure.
  int ClientRetries = 0;
  /// Own service time instead of the service's, in ms.
  double ServiceMs = 0;
  /// Requests and answers in time, per second of arrival.
  std::vector<double> Offered = {}, OnTime = {};

  double onTimeRate(std::size_t First, std::size_t Last) const {
    return sum(OnTime, First, Last) / static_cast<double>(Last - First);
  }
  double onTimeShare(std::size_t First, std::size_t Last) const {
    return sum(OnTime, First, Last) / std::max(1.0, sum(Offered, First, Last));
  }
  static double sum(std::vector<double> Of, std::size_t From, std::size_t To) {
    Of.resize(std::max(Of.size(), To));
    return std::accumulate(Of.begin() + From, Of.begin() + To, 0.0);
  }
};

class ServiceChain {
public:
  ServiceChain(std::vector<ServiceSpec> Services, MeshPolicy Policy,
               Mode RunMode)
      : Specs(std::move(Services)), Policy(std::move(Policy)), RunMode(RunMode),
        Ratios(Specs.size(), RetryThrottle(0.1)), Servers(Specs.size()) {
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
  double wastedShare() const { return 1 - UsefulExecutions / Executions; }

  std::vector<ServiceSpec> Specs;
  SeededRandom Source{20261204};
  Instant Now;
  double Executions = 0, UsefulExecutions = 0, Cancels = 0;

private:
  struct Server;

  /// One attempt of one call at one service.
  struct Call {
    Load *Source = nullptr;
    std::size_t Service = 0;
    Instant Created, Deadline;
    std::shared_ptr<int> Executions; // of the whole request
    AttemptBudget Budget{3};
    std::function<void(bool Ok)> Done = nullptr;
    Server *At = nullptr;
    std::uint64_t Id = 0;
    bool Started = false, Settled = false, Cancelled = false;
    /// A service that was called for this call refused it; its shedding level.
    bool Refused = false;
    Rank Level = Rank(MaxRanks - 1);
    std::shared_ptr<Call> Child = nullptr;
    Duration DownstreamTime = {};

    void settle(bool Ok) {
      if (!std::exchange(Settled, true))
        std::exchange(Done, nullptr)(Ok);
    }
  };
  using CallPtr = std::shared_ptr<Call>;

  struct Server final : AdmissionListener {
    Server(ServiceChain &Env, const ServiceSpec &Spec, std::uint32_t Number)
        : Process{{Number, 1}, 1}, Env(Env), Spec(Spec) {
      ServicePolicy Policy;
      Policy.Slots = Spec.Slots;
      Policy.QueueLimit = Spec.QueueLimit;
      Policy.CancelLowerRanks = Spec.CancelLowerRanks;
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
      Admission->offer({In->Id, Rank(From.Rank), true, Env.Now - In->Created,
                        In->Deadline - Env.Now, From.Caller,
                        From.Entry * 8 + From.Rank},
                       Env.Now);
    }
    void start(std::uint64_t Id) override {
      const CallPtr Started = Calls.at(Id);
      Started->Started = true;
      ++*Started->Executions;
      ++Env.Executions;
      ++Running;
      const double Own = Started->Source->ServiceMs;
      const double Mean = (Own > 0 ? Own : Spec.ServiceMs) *
                          Spec.SlowdownFactor *
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
          Stopped->Child->At->Admission->onCancelled(Stopped->Child->Id,
                                                     Env.Now);
        end(Stopped, AdmissionOutcome::Cancelled, false);
      });
    }
    void ownWorkDone(const CallPtr &Of) {
      const Load &From = *Of->Source;
      if (Of->Cancelled || Of->Service + 1 >= From.Entry + From.Depth)
        return end(Of, AdmissionOutcome::Completed, true);
      Call Next{Of->Source, Of->Service + 1, Of->Created, Of->Deadline,
                Of->Executions};
      Next.Done = [this, Of, Begin = Env.Now](bool Ok) {
        Of->DownstreamTime = Env.Now - Begin;
        end(Of, Ok ? AdmissionOutcome::Completed : AdmissionOutcome::Failed,
            Ok);
      };
      Env.attempt(Of, Next, Shedder);
    }
    void end(const CallPtr &Ended, AdmissionOutcome Outcome, bool Ok) {
      if (Calls.erase(Ended->Id) == 0)
        return;
      --Running;
      Ended->Child.reset();
      Ended->settle(Ok);
      if (Env.controlled())
        return Admission->onFinished(Ended->Id, Outcome, Env.Now,
                                     Ended->DownstreamTime);
      if (Fifo.empty())
        return;
      start(Fifo.front());
      Fifo.pop_front();
    }

    ProcessId Process;
    ServiceChain &Env;
    const ServiceSpec &Spec;
    std::optional<AdmissionController> Admission;
    std::unordered_map<std::uint64_t, CallPtr> Calls;
    UpstreamShedder Shedder;
    std::deque<std::uint64_t> Fifo;
    std::uint64_t NextId = 1;
    std::size_t Running = 0;
  };

  void tick() {
    for (auto &Group : Servers)
      for (auto &Each : Group)
        Each->Admission->tick(Now);
    after(Duration::millis(20), [this] { tick(); });
  }
  bool controlled() const { return RunMode == Mode::Camphorpin; }
  double exponential(double Mean) {
    return -Mean * std::log(1 - Source.unit());
  }
  void after(Duration Span, std::function<void()> Run) {
    Events.emplace(Now + Span, std::move(Run));
  }
  bool retries(const CallPtr &Caller, const Call &Failed, int Made) {
    if (!controlled())
      return Made < 3;
    if (Failed.Started || Caller->Cancelled)
      return false; // only the hop directly above a refusal retries
    const AttemptFailure Failure{Verdict::NotRun, RefusalReason::Overloaded,
                                 true, true, Failed.Deadline - Now};
    return RetryPolicy::decide(Failure, Caller->Budget,
                               Ratios[Failed.Service]) == RetryDecision::Retry;
  }
  void attempt(const CallPtr &Caller, const Call &Next, UpstreamShedder &From,
               int Made = 0) {
    if (Made == 0)
      Ratios[Next.Service].onFirstAttempt();
    const CallPtr Sent = std::make_shared<Call>(Next);
    const Rank CallRank(Next.Source->Rank);
    const CallTarget To{ServiceName(Specs[Next.Service].Name),
                        OperationName(Next.Source->Caller)};
    const std::uint8_t Lent = Caller->Budget.allocate();
    Sent->Budget = AttemptBudget(Lent);
    Caller->Child = Sent;
    Sent->Done = [=, this, &From, Of = Sent.get()](bool Ok) {
      const bool Accepted = Ok || (Of->Started && !Of->Refused);
      if (Of->At && controlled())
        From.observe({To, Of->At->Process, CallRank, Of->Source->Caller,
                      std::min(Of->Level, Of->At->Admission->sheddingLevel()),
                      Accepted},
                     Now);
      Caller->Level = std::min(Caller->Level, From.level(To, Now));
      Caller->Budget.returnUnused(Lent, Of->Budget.available());
      if (!Ok && retries(Caller, *Of, Made))
        return attempt(Caller, Next, From, Made + 1);
      Caller->Refused |= !Accepted;
      Next.Done(Ok);
    };
    // A direct call would recurse through all retries.
    after(Duration(), [=, this, &From] {
      if (controlled() && !From.admit(To, CallRank, Next.Source->Caller, Now))
        return Sent->settle(false);
      pick(Sent->Service).arrive(Sent);
      // Without deadline propagation a hop also times out, but the work
      // continues.
      const Instant End =
          controlled() ? Sent->Deadline : Now + Sent->Source->Deadline;
      after(End - Now, [this, Sent] {
        if (!Sent->Settled && controlled())
          Sent->At->Admission->onCancelled(Sent->Id, Now);
        Sent->settle(false);
      });
    });
  }
  /// \returns the less loaded of two servers of the service.
  Server &pick(std::size_t Service) {
    auto &Group = Servers[Service];
    Server *First = Group[Source.below(Group.size())].get();
    Server *Second = Group[Source.below(Group.size())].get();
    return First->Calls.size() <= Second->Calls.size() ? *First : *Second;
  }
  void arrivals(Load &Of) {
    const std::size_t Second = Now.wholeMillis() / 1000;
    Of.Offered.resize(std::max(Of.Offered.size(), Second + 1));
    Of.OnTime.resize(Of.Offered.size());
    Of.Offered[Second] += 1;
    clientAttempt(Of, Second, Of.ClientRetries);
    const Duration Gap = Duration::fromMillis(exponential(1000 / Of.PerSecond));
    if ((Now + Gap).wholeMillis() < Of.Until * 1000)
      after(Gap, [this, &Of] { arrivals(Of); });
  }
  void clientAttempt(Load &Of, std::size_t Second, int Retries) {
    Call Root{&Of, Of.Entry, Now, Now + Of.Deadline, std::make_shared<int>(0)};
    const CallPtr Client = std::make_shared<Call>(Root);
    Root.Done = [=, this, &Of](bool Ok) {
      const bool InTime = Ok && Now <= Client->Deadline;
      Client->Child.reset();
      UsefulExecutions += InTime ? *Client->Executions : 0;
      Of.OnTime[Second] += InTime ? 1 : 0;
      if (!InTime && Retries > 0)
        clientAttempt(Of, Second, Retries - 1);
    };
    attempt(Client, Root, Ingress);
  }

  MeshPolicy Policy;
  Mode RunMode;
  std::vector<RetryThrottle> Ratios;
  std::vector<std::vector<std::unique_ptr<Server>>> Servers;
  std::multimap<Instant, std::function<void()>> Events;
  UpstreamShedder Ingress;
};

} // namespace camphorpin::test

#endif
