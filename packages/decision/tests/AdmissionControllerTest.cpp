// Checks single decisions of the controller: what is refused, evicted,
// cancelled, and what a change of policy or a restart does.
#include "camphorpin/Admission.h"

#include <criterion/criterion.h>
#include <string>
#include <vector>

using namespace camphorpin;

namespace {

class Recorder final : public AdmissionListener {
public:
  void start(std::uint64_t Id) override { note('s', Id); }
  void refuse(std::uint64_t Id, RefusalReason Reason) override {
    LastReason = Reason;
    note('r', Id);
  }
  void cancelRunning(std::uint64_t Id) override { note('c', Id); }

  /// \returns the events since the last call, for example "s1 r2".
  std::string events() { return std::exchange(Text, std::string()); }

  RefusalReason LastReason = RefusalReason::None;

private:
  void note(char Kind, std::uint64_t Id) {
    Text +=
        (Text.empty() ? "" : " ") + std::string(1, Kind) + std::to_string(Id);
  }
  std::string Text;
};

/// Four slots give a limit of one call at the start.
struct Fixture {
  explicit Fixture(std::uint32_t QueueLimit = 3, bool Cancel = false) {
    Mesh.Ranks = {
        {"urgent", 0.0, 1.0}, {"normal", 0.0, 1.0}, {"lookup", 0.0, 1.0}};
    Service.Slots = 4;
    Service.QueueLimit = QueueLimit;
    Service.CancelLowerRanks = Cancel;
    Admission.emplace(Mesh, Service, Events, Now);
  }
  void offer(std::uint64_t Id, int Rank, int AgeMs = 0, bool Idempotent = true,
             int RemainingMs = 1000) {
    Admission->offer({.Id = Id,
                      .Rank = camphorpin::Rank(static_cast<std::uint8_t>(Rank)),
                      .Idempotent = Idempotent,
                      .Age = Duration::millis(AgeMs),
                      .Remaining = Duration::millis(RemainingMs),
                      .Caller = "a"},
                     Now);
  }
  void finish(std::uint64_t Id, int AfterMs = 10) {
    Now = Now + Duration::millis(AfterMs);
    Admission->onFinished(Id, AdmissionOutcome::Completed, Now);
  }

  MeshPolicy Mesh;
  ServicePolicy Service;
  Recorder Events;
  Instant Now = Instant::fromMillis(1000);
  std::optional<AdmissionController> Admission;
};

} // namespace

Test(AdmissionController, servesByRankThenByRequestAge) {
  Fixture Node(4);
  Node.offer(1, 1);
  Node.offer(2, 2, 500);
  Node.offer(3, 1, 100);
  Node.offer(4, 1, 300);
  Node.offer(5, 0);
  cr_assert_eq(Node.Events.events(), std::string("s1"));
  for (std::uint64_t Id : {1, 5, 4, 3})
    Node.finish(Id);
  cr_assert_eq(Node.Events.events(), std::string("s5 s4 s3 s2"));
}

// The evicted call was queued, so its verdict must be not-run.
Test(AdmissionController, fullQueueEvictsLeastUrgentAndYoungest) {
  Fixture Node(3);
  Node.offer(1, 0);
  Node.offer(2, 2, 100);
  Node.offer(3, 2, 50);
  Node.offer(4, 1);
  Node.offer(5, 1, 10);
  cr_assert_eq(Node.Events.events(), std::string("s1 r3"));
  cr_assert(Node.Events.LastReason == RefusalReason::Overloaded);
  Node.offer(6, 2);
  cr_assert_eq(Node.Events.events(), std::string("r6"), "it is the youngest");
  Node.offer(7, 0);
  Node.offer(8, 0);
  cr_assert_eq(Node.Events.events(), std::string("r2 r4"));
}

// A call that cannot finish before its deadline must not take a slot.
Test(AdmissionController, refusesCallsThatCannotMeetTheirDeadline) {
  Fixture Node(10);
  Node.offer(1, 1);
  Node.finish(1, 100);
  Node.offer(2, 1, 0, true, 90);
  cr_assert_eq(Node.Events.events(), std::string("s1 r2"));
  cr_assert(Node.Events.LastReason == RefusalReason::Deadline);
  Node.offer(3, 1);
  Node.offer(4, 1, 0, true, 350);
  Node.offer(5, 1, 0, true, 110); // behind call 4
  cr_assert_eq(Node.Events.events(), std::string("s3 r5"));
  Node.Now = Node.Now + Duration::millis(251);
  Node.Admission->tick(Node.Now);
  cr_assert_eq(Node.Events.events(), std::string("r4"),
               "99 ms are left for work of 100 ms");
}

// An estimate longer than all deadlines causes all calls to be refused. Without
// decay no call would run that could correct it.
Test(AdmissionController, serviceTimeEstimateDecaysWithoutSamples) {
  Fixture Node;
  Node.offer(1, 1);
  Node.finish(1, 5000);
  Node.offer(2, 1);
  cr_assert_eq(Node.Events.events(), std::string("s1 r2"));
  Node.Now = Node.Now + Duration::seconds(3);
  Node.offer(3, 1);
  cr_assert_eq(Node.Events.events(), std::string("s3"));
}

Test(AdmissionController, urgentCallPreemptsYoungestIdempotentCallOfLowerRank) {
  for (bool Allowed : {true, false}) {
    Fixture Node(10, Allowed);
    Node.Service.Slots = 12; // a limit of three calls
    Node.Admission.emplace(Node.Mesh, Node.Service, Node.Events, Node.Now);
    Node.offer(1, 2, 300);
    Node.offer(2, 2, 200);
    Node.offer(3, 2, 100, false);
    cr_assert_eq(Node.Events.events(), std::string("s1 s2 s3"));
    Node.offer(4, 1);
    cr_assert_eq(Node.Events.events(), std::string(),
                 "only urgent work cancels");
    Node.offer(5, 0);
    cr_assert_eq(Node.Events.events(), std::string(Allowed ? "c2" : ""));
    if (!Allowed)
      continue;
    Node.Admission->onCancelled(2, Node.Now);
    cr_assert_eq(Node.Events.events(), std::string(), "one cancellation");
    Node.Admission->onFinished(2, AdmissionOutcome::Cancelled, Node.Now);
    cr_assert_eq(Node.Events.events(), std::string("s5"));
  }
}

Test(AdmissionController, drainRefusesNewCallsAndFinishesAcceptedOnes) {
  Fixture Node;
  Node.offer(1, 1);
  Node.offer(2, 1);
  Node.Admission->drain();
  Node.offer(3, 0);
  cr_assert(Node.Events.LastReason == RefusalReason::Draining);
  Node.finish(1);
  cr_assert_not(Node.Admission->idle());
  Node.finish(2);
  cr_assert(Node.Admission->idle());
  cr_assert_eq(Node.Events.events(), std::string("s1 r3 s2"));
}

Test(AdmissionController, appliesPolicyChangesAndBackendRestart) {
  Fixture Node(3);
  for (std::uint64_t Id : {1, 2, 3, 4})
    Node.offer(Id, 1);
  Node.Service.QueueLimit = 1;
  Node.Admission->applyServicePolicy(Node.Service, Node.Now);
  cr_assert_eq(Node.Events.events(), std::string("s1 r4 r3"));
  Node.finish(1);
  for (std::uint64_t Id = 10; Id < 600; ++Id) {
    Node.offer(Id, 1);
    Node.finish(Id == 10 ? 2 : Id - 1);
  }
  Node.Events.events();
  cr_assert_eq(Node.Admission->limit(), 3U, "grows only as far as it is used");
  Node.Service.Slots = 2;
  Node.Admission->applyServicePolicy(Node.Service, Node.Now);
  cr_assert_eq(Node.Admission->limit(), 2U);
  Node.Admission->onBackendRestarted(Node.Now);
  cr_assert_eq(Node.Admission->limit(), 1U);
}

// Without hysteresis upstream nodes would alternate between shedding and
// sending.
Test(AdmissionController, sheddingLevelRisesAndFallsWithHysteresis) {
  Fixture Node(1);
  std::uint64_t Id = 100;
  Node.offer(1, 1);
  std::string Levels;
  for (int Step = 0; Step < 100; ++Step) {
    Node.Now = Node.Now + Duration::millis(20);
    for (int Count = 0; Step < 40 && Count < 3; ++Count)
      Node.offer(Id++, 2);
    if (Step == 40)
      Node.finish(1);
    Node.Admission->tick(Node.Now);
    const char Level =
        static_cast<char>('0' + Node.Admission->sheddingLevel().index());
    if (Levels.empty() || Levels.back() != Level)
      Levels += Level;
  }
  cr_assert_eq(Levels, std::string("212"), "levels were %s", Levels.c_str());
}
