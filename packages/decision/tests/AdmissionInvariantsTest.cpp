// Stateful fuzzing of the controller against simple invariants: limit, slots,
// caps and queue bound hold, each offered call is started or refused exactly
// once, and no call starts before one that precedes it in the queue order.
#include "camphorpin/Admission.h"

#include <criterion/criterion.h>
#include <map>
#include <rapidcheck.h>

using namespace camphorpin;

namespace {

enum class CallState : std::uint8_t { Offered, Running, Ended };

struct TrackedCall {
  AdmissionRequest Request;
  Instant Created;
  CallState State = CallState::Offered;
  bool CancelSeen = false;
};

/// The oracle: what happened to each call.
class Model final : public AdmissionListener {
public:
  void start(std::uint64_t Id) override {
    TrackedCall &Tracked = Calls.at(Id);
    RC_ASSERT(Tracked.State == CallState::Offered);
    Tracked.State = CallState::Running;
    if (CheckOrder)
      checkOrder(Tracked);
  }
  void refuse(std::uint64_t Id, RefusalReason Reason) override {
    TrackedCall &Tracked = Calls.at(Id);
    RC_ASSERT(Tracked.State == CallState::Offered);
    RC_ASSERT(Reason != RefusalReason::None);
    Tracked.State = CallState::Ended;
  }
  void cancelRunning(std::uint64_t Id) override {
    TrackedCall &Tracked = Calls.at(Id);
    RC_ASSERT(Tracked.State == CallState::Running && !Tracked.CancelSeen);
    Tracked.CancelSeen = true;
  }

  std::size_t count(CallState State, int Rank = -1) const {
    std::size_t Count = 0;
    for (const auto &[Id, Tracked] : Calls)
      Count += Tracked.State == State &&
               (Rank < 0 || Tracked.Request.Rank.index() == Rank);
    return Count;
  }
  std::uint64_t pick(CallState State, std::uint64_t Choice) const {
    std::size_t Skip = Choice % std::max<std::size_t>(1, count(State));
    for (const auto &[Id, Tracked] : Calls)
      if (Tracked.State == State && Skip-- == 0)
        return Id;
    return 0;
  }

  std::map<std::uint64_t, TrackedCall> Calls;
  /// True without floors and caps and while no caller is ahead of its share:
  /// then the order is strictly by rank and age.
  bool CheckOrder = false;

private:
  void checkOrder(const TrackedCall &Started) const {
    for (const auto &[Id, Tracked] : Calls) {
      if (Tracked.State != CallState::Offered)
        continue;
      RC_ASSERT(!Tracked.Request.Rank.moreUrgentThan(Started.Request.Rank));
      if (Tracked.Request.Rank == Started.Request.Rank)
        RC_ASSERT(Tracked.Created >= Started.Created);
    }
  }
};

MeshPolicy anyMesh(bool Strict) {
  MeshPolicy Mesh;
  const int Ranks = *rc::gen::inRange(1, 5);
  for (int Index = 0; Index < Ranks; ++Index)
    Mesh.Ranks.push_back({"r", Strict ? 0 : *rc::gen::inRange(0, 20) / 100.0,
                          Strict ? 1 : *rc::gen::inRange(30, 101) / 100.0});
  Mesh.CallerShares[CallerName("a")] = *rc::gen::inRange(1, 4);
  return Mesh;
}

ServicePolicy anyService() {
  ServicePolicy Service;
  // The limit starts at a quarter of the slots.
  Service.Slots = *rc::gen::inRange(1, 64);
  Service.QueueLimit = *rc::gen::inRange(0, 15);
  Service.CancelLowerRanks = *rc::gen::arbitrary<bool>();
  return Service;
}

/// A controller under random events, checked after each of them.
class Session {
public:
  explicit Session(bool Strict)
      : Strict(Strict), Mesh(anyMesh(Strict)), Service(anyService()),
        Admission(Mesh, Service, Oracle, Now) {
    Oracle.CheckOrder = Strict;
  }

  void step() {
    Now = Now + Duration::millis(*rc::gen::inRange(0, 30));
    switch (*rc::gen::weightedElement<int>(
        {{8, 0}, {6, 1}, {1, 2}, {1, 3}, {1, 4}, {1, 5}})) {
    case 0:
      return offer();
    case 1:
      return finish();
    case 2:
      return cancel();
    case 3:
      return Admission.tick(Now);
    case 4:
      Service = anyService();
      return Admission.applyServicePolicy(Service, Now);
    default:
      Mesh = anyMesh(Strict);
      return Admission.applyMeshPolicy(Mesh, Now);
    }
  }

  void check() {
    RC_ASSERT(Admission.limit() >= 1 && Admission.limit() <= Service.Slots);
    RC_ASSERT(Admission.running() == Oracle.count(CallState::Running));
    RC_ASSERT(Admission.queued() == Oracle.count(CallState::Offered));
    RC_ASSERT(Admission.queued() <= Service.QueueLimit);
    // A smaller limit or cap does not interrupt work, but nothing is added.
    RC_ASSERT(Admission.running() <=
              std::max<std::size_t>(RunningBefore, Admission.limit()));
    for (std::size_t Index = 0; Index < Mesh.Ranks.size(); ++Index) {
      const std::size_t Running =
          Admission.running(Rank(static_cast<std::uint8_t>(Index)));
      const double Cap =
          std::max(1.0, std::floor(Mesh.Ranks[Index].Cap * Admission.limit()));
      RC_ASSERT(Running <= std::max(RunningByRank[Index], std::size_t(Cap)));
      RunningByRank[Index] = Running;
    }
    RunningBefore = Admission.running();
    RC_ASSERT(Admission.sheddingLevel().index() < Mesh.Ranks.size());
  }

  /// Checks that every call ends and none remains in the queue.
  void finishAll() {
    Admission.drain();
    const std::size_t Ended = Oracle.count(CallState::Ended);
    offer();
    RC_ASSERT(Oracle.count(CallState::Ended) == Ended + 1);
    while (!Admission.idle()) {
      Now = Now + Duration::millis(5);
      finish();
      Admission.tick(Now);
    }
    RC_ASSERT(Oracle.count(CallState::Ended) == Oracle.Calls.size());
  }

private:
  void offer() {
    const std::uint64_t Id = ++LastId;
    const std::string Name = caller(Id);
    const int Rank = *rc::gen::inRange(0, 6);
    const Duration Age = Duration::millis(*rc::gen::inRange(0, 500));
    const AdmissionRequest Request = {
        .Id = Id,
        .Rank = camphorpin::Rank(static_cast<std::uint8_t>(
            std::min<int>(Rank, static_cast<int>(Mesh.Ranks.size()) - 1))),
        .Idempotent = *rc::gen::arbitrary<bool>(),
        .Age = Age,
        .Remaining = Duration::millis(*rc::gen::inRange(-5, 400)),
        .Caller = Name,
        .OperationHash = *rc::gen::inRange<std::uint64_t>(0, 3)};
    Oracle.Calls[Id] = {.Request = Request, .Created = Now - Age};
    Admission.offer(Request, Now);
  }
  /// Callers without history are never ahead of their share.
  std::string caller(std::uint64_t Id) const {
    if (Strict)
      return OneCaller ? "a" : "caller" + std::to_string(Id);
    return *rc::gen::element("a", "b", "c");
  }
  void finish() {
    const std::uint64_t Id =
        Oracle.pick(CallState::Running, *rc::gen::arbitrary<std::uint16_t>());
    if (Id != 0)
      Oracle.Calls.at(Id).State = CallState::Ended;
    Admission.onFinished(Id,
                         *rc::gen::element(AdmissionOutcome::Completed,
                                           AdmissionOutcome::Failed,
                                           AdmissionOutcome::BackendShed,
                                           AdmissionOutcome::Cancelled),
                         Now, Duration::millis(*rc::gen::inRange(0, 5)));
  }
  void cancel() {
    const CallState State =
        *rc::gen::element(CallState::Offered, CallState::Running);
    Admission.onCancelled(
        Oracle.pick(State, *rc::gen::arbitrary<std::uint16_t>()), Now);
  }

  bool Strict;
  bool OneCaller = *rc::gen::arbitrary<bool>();
  Instant Now = Instant::fromMillis(1000);
  MeshPolicy Mesh;
  ServicePolicy Service;
  Model Oracle;
  AdmissionController Admission;
  std::uint64_t LastId = 0;
  std::size_t RunningBefore = 0;
  std::array<std::size_t, MaxRanks> RunningByRank{};
};

bool checkInvariants(bool Strict) {
  return rc::check("invariants of admission control", [Strict] {
    Session Run(Strict);
    for (int Step = 0; Step < 150; ++Step) {
      Run.step();
      Run.check();
    }
    Run.finishAll();
  });
}

} // namespace

Test(AdmissionInvariants, holdWithFloorsCapsAndCallerWeights) {
  cr_assert(checkInvariants(false));
}

Test(AdmissionInvariants, strictOrderByRankAndAge) {
  cr_assert(checkInvariants(true));
}
