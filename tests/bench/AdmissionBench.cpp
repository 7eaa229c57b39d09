// The cost of admission decisions per call over the queue length. Target: the
// decisions of a node at 93 calls/s with 11 hops stay well below 1.4% of a
// core.
#include "camphorpin/Admission.h"

#include <benchmark/benchmark.h>
#include <string>
#include <vector>

using namespace camphorpin;

namespace {

constexpr int Callers = 50;
constexpr int Ranks = 3;

class Started final : public AdmissionListener {
public:
  void start(std::uint64_t Id) override { Ids.push_back(Id); }
  void refuse(std::uint64_t, RefusalReason) override { ++Refused; }
  void cancelRunning(std::uint64_t) override {}

  std::vector<std::uint64_t> Ids;
  std::uint64_t Refused = 0;
};

MeshPolicy mesh() {
  MeshPolicy Mesh;
  Mesh.Ranks = {
      {"urgent", 0.02, 1.0}, {"normal", 0.02, 1.0}, {"lookup", 0.01, 0.8}};
  return Mesh;
}

AdmissionRequest request(std::uint64_t Id,
                         const std::vector<std::string> &Names) {
  return {.Id = Id,
          .Rank = Rank(static_cast<std::uint8_t>(Id % Ranks)),
          .Idempotent = true,
          .Age = Duration::millis(static_cast<std::int64_t>(Id * 7 % 500)),
          .Remaining = Duration::seconds(1000),
          .Caller = Names[Id % Names.size()],
          .OperationHash = Id % Ranks};
}

/// Calls offered per finished call: 1, or 2 so that one is evicted each time.
void offerAndFinish(benchmark::State &State) {
  ServicePolicy Service;
  Service.Slots = 100;
  Service.QueueLimit = static_cast<std::uint32_t>(State.range(0));
  Started Listener;
  Instant Now;
  AdmissionController Admission(mesh(), Service, Listener, Now);
  std::vector<std::string> Names;
  Names.reserve(Callers);
  for (int Number = 0; Number < Callers; ++Number)
    Names.push_back("caller" + std::to_string(Number));
  std::uint64_t Id = 0;
  while (Admission.queued() < Service.QueueLimit)
    Admission.offer(request(++Id, Names), Now);
  std::size_t Next = 0;
  for (auto _ : State) {
    Now = Now + Duration::ticks(10);
    for (std::int64_t Offer = 0; Offer < State.range(1); ++Offer)
      Admission.offer(request(++Id, Names), Now);
    if (Next < Listener.Ids.size())
      Admission.onFinished(Listener.Ids[Next++], AdmissionOutcome::Completed,
                           Now);
  }
  State.counters["queued"] = static_cast<double>(Admission.queued());
  State.counters["refusedShare"] =
      static_cast<double>(Listener.Refused) / static_cast<double>(Id);
}
BENCHMARK(offerAndFinish)->ArgsProduct({{0, 100, 1000, 10000}, {1, 2}});

/// One call judged and its answer observed at the calling node.
void admitAndObserve(benchmark::State &State) {
  UpstreamShedder Shedder;
  const CallTarget Target{ServiceName("orders"), OperationName("pay")};
  Instant Now;
  std::uint64_t Call = 0;
  for (auto _ : State) {
    Now = Now + Duration::ticks(1000);
    const std::uint16_t Peer = static_cast<std::uint16_t>(++Call % 20);
    benchmark::DoNotOptimize(Shedder.admit(Target, Rank(1), "caller", Now));
    Shedder.observe({.Target = Target,
                     .Peer = {.Address = {1, Peer}},
                     .Rank = Rank(1),
                     .Caller = "caller",
                     .Level = Rank(static_cast<std::uint8_t>(Call % 2)),
                     .Accepted = Call % 3 == 0},
                    Now);
  }
}
BENCHMARK(admitAndObserve);

} // namespace

BENCHMARK_MAIN();
