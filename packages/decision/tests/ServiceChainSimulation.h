// Discrete-event simulation of a chain of services with seeded arrivals. Calls
// pass from service to service through admission control, shedding and
// retries or, as the baseline, through a FIFO queue with three retries
// at each hop and no deadlines.
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

/// Poisson arrivals of one rank and caller at service Entry. Each request
/// passes through Depth services.
struct Load {
  std::uint8_t Rank = 0;
  std::string_view Caller = "a";
  double PerSecond = 1;
  std::size_t Entry = 0, Depth = 1;
  Duration Deadline = Duration::seconds(1);
  double From = 0, Until = 1e9;
  /// Retries by the client itself, immediately after each failure.
  int ClientRetries = 0;
  /// Replaces the service time of the service, in ms; 0 keeps it.
  double ServiceMs = 0;
  /// Requests and answers in time, per second of arrival.
  std::vector<double> Offered = {}, OnTime = {};

  double onTimeRate(std::size_t First, std::size_t Last) const {
    return sum(OnTime, First, Last) / static_cast<double>(Last - First);
  }
  double onTimeShare(std::size_t First, std::size_t Last) const {
    return sum(OnTime, First, Last) / std::max(1.0, sum(Offered, First, Last));
  }
  static double sum(std::vector<double> Counts, std::size_t First,
                    std::size_t Last) {
    Counts.resize(std::max(Counts.size(), Last));
    return std::accumulate(Counts.begin() + First, Counts.begin() + Last, 0.0);
  }
};

class ServiceChain {
public:
  ServiceChain(std::vector<ServiceSpec> Services, MeshPolicy Policy,
               Mode RunMode)
      : Specs(std::move(Services)), Policy(std::move(Policy)), RunMode(RunMode),
        Throttles(Specs.size(), RetryThrottle(0.1)), Servers(Specs.size()) {
    for (std::size_t I = 0; I < Specs.size(); ++I)
      for (std::uint32_t Number = 0; Number < Specs[I].Servers; ++Number)
        Servers[I].push_back(std::make_unique<Server>(*this, Specs[I], Number));
    tick();
  }
  void add(Load &Added) {
    after(Duration::fromMillis(Added.From * 1000), [&] { onArrival(Added); });
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
  /// Useful executions belong to a request that was answered in time.
  double Executions = 0, UsefulExecutions = 0, Cancels = 0;

private:
  struct Server;

  /// One attempt of one call at one service.
  struct Call {
    Load *Source = nullptr;
    std::size_t Service = 0;
    Instant Created, Deadline;
    std::shared_ptr<int> Executions; // of the root request
    AttemptBudget Budget{3};
    std::function<void(bool Ok)> Done = nullptr;
    Server *Receiver = nullptr;
    std::uint64_t Id = 0;
    bool Started = false, Settled = false, Cancelled = false;
    /// A downstream service refused a call that was made for this one.
    bool Refused = false;
    /// Most urgent shedding level seen downstream.
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
    Server(ServiceChain &Chain, const ServiceSpec &Spec, std::uint32_t Number)
        : Process{{Number, 1}, 1}, Chain(Chain), Spec(Spec) {
      ServicePolicy Policy;
      Policy.Slots = Spec.Slots;
      Policy.QueueLimit = Spec.QueueLimit;
      Policy.CancelLowerRanks = Spec.CancelLowerRanks;
      Admission.emplace(Chain.Policy, Policy, *this, Chain.Now,
                        Spec.Limit(Spec.Slots));
    }
    void arrive(const CallPtr &Incoming) {
      Incoming->Receiver = this;
      Incoming->Id = NextId++;
      Calls.emplace(Incoming->Id, Incoming);
      const Load &Origin = *Incoming->Source;
      if (!Chain.controlled())
        return Running < Spec.Slots ? start(Incoming->Id)
                                    : Fifo.push_back(Incoming->Id);
      Admission->offer({Incoming->Id, Rank(Origin.Rank), true,
                        Chain.Now - Incoming->Created,
                        Incoming->Deadline - Chain.Now, Origin.Caller,
                        Origin.Entry * 8 + Origin.Rank},
                       Chain.Now);
    }
    void start(std::uint64_t Id) override {
      const CallPtr Started = Calls.at(Id);
      Started->Started = true;
      ++*Started->Executions;
      ++Chain.Executions;
      ++Running;
      const double OverrideMs = Started->Source->ServiceMs;
      const double Mean = (OverrideMs > 0 ? OverrideMs : Spec.ServiceMs) *
                          Spec.SlowdownFactor *
                          std::max(1.0, Running / Spec.Knee);
      // Half of the time is constant, half varies.
      Chain.after(Duration::fromMillis(Mean / 2 + Chain.exponential(Mean / 2)),
                  [this, Started] { ownWorkDone(Started); });
    }
    void refuse(std::uint64_t Id, RefusalReason) override {
      Calls.extract(Id).mapped()->settle(false);
    }
    /// The backend server stops the work, and what it called, after 1 ms.
    void cancelRunning(std::uint64_t Id) override {
      ++Chain.Cancels;
      Chain.after(Duration::millis(1), [this, Stopped = Calls.at(Id)] {
        Stopped->Cancelled = true;
        if (Stopped->Child && Stopped->Child->Receiver)
          Stopped->Child->Receiver->Admission->onCancelled(Stopped->Child->Id,
                                                           Chain.Now);
        end(Stopped, AdmissionOutcome::Cancelled, false);
      });
    }
    void ownWorkDone(const CallPtr &Parent) {
      const Load &Origin = *Parent->Source;
      if (Parent->Cancelled ||
          Parent->Service + 1 >= Origin.Entry + Origin.Depth)
        return end(Parent, AdmissionOutcome::Completed, true);
      Call Next{Parent->Source, Parent->Service + 1, Parent->Created,
                Parent->Deadline, Parent->Executions};
      Next.Done = [this, Parent, Begin = Chain.Now](bool Ok) {
        Parent->DownstreamTime = Chain.Now - Begin;
        end(Parent, Ok ? AdmissionOutcome::Completed : AdmissionOutcome::Failed,
            Ok);
      };
      Chain.attempt(Parent, Next, Shedder);
    }
    void end(const CallPtr &Ended, AdmissionOutcome Outcome, bool Ok) {
      if (Calls.erase(Ended->Id) == 0)
        return;
      --Running;
      Ended->Child.reset();
      Ended->settle(Ok);
      if (Chain.controlled())
        return Admission->onFinished(Ended->Id, Outcome, Chain.Now,
                                     Ended->DownstreamTime);
      if (Fifo.empty())
        return;
      start(Fifo.front());
      Fifo.pop_front();
    }

    ProcessId Process;
    ServiceChain &Chain;
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
      for (auto &Instance : Group)
        Instance->Admission->tick(Now);
    after(Duration::millis(20), [this] { tick(); });
  }
  bool controlled() const { return RunMode == Mode::Camphorpin; }
  double exponential(double Mean) {
    return -Mean * std::log(1 - Source.uniform01());
  }
  void after(Duration Span, std::function<void()> Run) {
    Events.emplace(Now + Span, std::move(Run));
  }
  bool shouldRetry(const CallPtr &Caller, const Call &Failed, int RetriesMade) {
    if (!controlled())
      return RetriesMade < 3;
    if (Failed.Started || Caller->Cancelled)
      return false; // only the hop directly above a refusal retries
    const AttemptFailure Failure{Verdict::NotRun, RefusalReason::Overloaded,
                                 true, true, Failed.Deadline - Now};
    return RetryPolicy::decide(Failure, Caller->Budget,
                               Throttles[Failed.Service]) ==
           RetryDecision::Retry;
  }
  void attempt(const CallPtr &Caller, const Call &Next,
               UpstreamShedder &Shedder, int RetriesMade = 0) {
    if (RetriesMade == 0)
      Throttles[Next.Service].onFirstAttempt();
    const CallPtr Sent = std::make_shared<Call>(Next);
    const Rank CallRank(Next.Source->Rank);
    const CallTarget Target{ServiceName(Specs[Next.Service].Name),
                            OperationName(Next.Source->Caller)};
    const std::uint8_t Allocated = Caller->Budget.allocate();
    Sent->Budget = AttemptBudget(Allocated);
    Caller->Child = Sent;
    Sent->Done = [=, this, &Shedder, Child = Sent.get()](bool Ok) {
      const bool Accepted = Ok || (Child->Started && !Child->Refused);
      if (Child->Receiver && controlled())
        Shedder.observe({Target, Child->Receiver->Process, CallRank,
                         Child->Source->Caller,
                         std::min(Child->Level,
                                  Child->Receiver->Admission->sheddingLevel()),
                         Accepted},
                        Now);
      Caller->Level = std::min(Caller->Level, Shedder.level(Target, Now));
      Caller->Budget.returnUnused(Allocated, Child->Budget.available());
      if (!Ok && shouldRetry(Caller, *Child, RetriesMade))
        return attempt(Caller, Next, Shedder, RetriesMade + 1);
      Caller->Refused |= !Accepted;
      Next.Done(Ok);
    };
    // A direct call would recurse through all retries.
    after(Duration(), [=, this, &Shedder] {
      if (controlled() &&
          !Shedder.admit(Target, CallRank, Next.Source->Caller, Now))
        return Sent->settle(false);
      pick(Sent->Service).arrive(Sent);
      // Without deadline propagation a hop also times out, but the work
      // continues.
      const Instant End =
          controlled() ? Sent->Deadline : Now + Sent->Source->Deadline;
      after(End - Now, [this, Sent] {
        if (!Sent->Settled && controlled())
          Sent->Receiver->Admission->onCancelled(Sent->Id, Now);
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
  void onArrival(Load &Origin) {
    const std::size_t Second = Now.wholeMillis() / 1000;
    Origin.Offered.resize(std::max(Origin.Offered.size(), Second + 1));
    Origin.OnTime.resize(Origin.Offered.size());
    Origin.Offered[Second] += 1;
    clientAttempt(Origin, Second, Origin.ClientRetries);
    const Duration Gap =
        Duration::fromMillis(exponential(1000 / Origin.PerSecond));
    if ((Now + Gap).wholeMillis() < Origin.Until * 1000)
      after(Gap, [this, &Origin] { onArrival(Origin); });
  }
  void clientAttempt(Load &Origin, std::size_t Second, int Retries) {
    Call Root{&Origin, Origin.Entry, Now, Now + Origin.Deadline,
              std::make_shared<int>(0)};
    const CallPtr Client = std::make_shared<Call>(Root);
    Root.Done = [=, this, &Origin](bool Ok) {
      const bool InTime = Ok && Now <= Client->Deadline;
      Client->Child.reset();
      UsefulExecutions += InTime ? *Client->Executions : 0;
      Origin.OnTime[Second] += InTime ? 1 : 0;
      if (!InTime && Retries > 0)
        clientAttempt(Origin, Second, Retries - 1);
    };
    attempt(Client, Root, Ingress);
  }

  MeshPolicy Policy;
  Mode RunMode;
  std::vector<RetryThrottle> Throttles;
  std::vector<std::vector<std::unique_ptr<Server>>> Servers;
  std::multimap<Instant, std::function<void()>> Events;
  UpstreamShedder Ingress;
};

} // namespace camphorpin::test

#endif
