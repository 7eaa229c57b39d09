#include "Mesh.h"
#include "PairedLatency.h"
#include "Protocol.h"

#include <chrono>
#include <cstdio>
#include <gflags/gflags.h>
#include <httplib.h>
#include <memory>
#include <optional>
#include <string>

DEFINE_int32(pairs, 2000, "direct calls and calls through the mesh");
DEFINE_double(pairs_per_second, 200, "rate of the pairs");
DEFINE_double(service_ms, 2, "service time of the backend server");

/// Measures the latency that two stand-alone nodes add on one host: a call
/// through the node of another service against a direct call to the same
/// backend server.
namespace camphorpin::process {

namespace {

constexpr int Callers = 4;
/// Fails only on gross regressions, because the hosts of CI are shared.
constexpr double LargestMedianRatio = 4;

std::optional<double> call(httplib::Client &Connection, const std::string &Id) {
  const std::chrono::steady_clock::time_point Start =
      std::chrono::steady_clock::now();
  const httplib::Result Reply =
      Connection.Post("/catalogue/find", encode(standins::Question{Id, 100}),
                      "application/json");
  const double Millis = millisSince(Start);
  if (!Reply || Reply->status != 200)
    return std::nullopt;
  const std::optional<standins::Answer> Answer =
      standins::decodeAnswer(Reply->body);
  if (!Answer || Answer->Id != Id)
    return std::nullopt;
  return Millis;
}

/// \returns calls over a connection that has been used once.
PairedLatency::Call callOf(const std::string &Ip, int Port) {
  const std::shared_ptr<httplib::Client> Connection = keptConnection(Ip, Port);
  call(*Connection, "warm-up");
  return [Connection](const std::string &Id) { return call(*Connection, Id); };
}

int measureLatency() {
  Mesh Running({{"catalogue", 1, FLAGS_service_ms, 0, ""},
                {"orders", 1, FLAGS_service_ms, 0, ""}});
  if (!Running.startNodes()) {
    std::fprintf(stderr, "the nodes did not start serving\n");
    return 1;
  }
  const Worker &Callee = *Running.workersOf("catalogue")[0];
  const Worker &Caller = *Running.workersOf("orders")[0];
  PairedLatency Latency(Callers, FLAGS_pairs, FLAGS_pairs_per_second);
  Latency.run([&] {
    return PairedLatency::Caller{callOf(Callee.Ip, Callee.BackendPort),
                                 callOf(Caller.Ip, Caller.HttpPort)};
  });
  Latency.print();
  if (Latency.failed() != 0)
    return 1;
  std::printf("ratio of the medians %.2f (bound %.1f)\n", Latency.medianRatio(),
              LargestMedianRatio);
  return Latency.medianRatio() <= LargestMedianRatio ? 0 : 1;
}

} // namespace

} // namespace camphorpin::process

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  return camphorpin::process::measureLatency();
}
