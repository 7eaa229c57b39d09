#include "Mesh.h"
#include "Protocol.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <gflags/gflags.h>
#include <httplib.h>
#include <mutex>
#include <thread>

DEFINE_int32(pairs, 2000, "direct calls and calls through the mesh");
DEFINE_double(pairs_per_second, 200, "rate of the pairs");
DEFINE_double(service_ms, 2, "service time of the backend server");

/// Measures the latency that the mesh adds on one host: a call through the node
/// of another service against a direct call to the same backend server. The
/// calls alternate, so that the load of the host meets both alike.
namespace camphorpin::process {

namespace {

using standins::monotonicMicros;

constexpr int Threads = 4;
/// The target for the added latency of 99 calls in 100.
constexpr double TargetP99Ms = 1.4;
/// Fails only on gross regressions, because the hosts of CI are shared.
constexpr double LargestMedianRatio = 4;

/// \brief Latencies of one kind of call.
struct Samples {
  std::vector<double> Millis;

  double percentile(double Share) {
    std::sort(Millis.begin(), Millis.end());
    return Millis.at(static_cast<std::size_t>(
        Share * static_cast<double>(Millis.size() - 1)));
  }
};

/// \returns the latency in ms. Ends the program if the call is not served.
double call(httplib::Client &Connection, const std::string &Id) {
  const std::int64_t Start = monotonicMicros();
  const httplib::Result Reply =
      Connection.Post("/catalogue/find", encode(standins::Question{Id, 100}),
                      "application/json");
  const std::int64_t End = monotonicMicros();
  if (!Reply || Reply->status != 200 ||
      standins::decodeAnswer(Reply->body).value_or(standins::Answer()).Id !=
          Id) {
    std::fprintf(stderr, "a call was not served\n");
    std::exit(1);
  }
  return static_cast<double>(End - Start) / 1000;
}

/// \brief Measures pairs of calls on several threads.
class PairedCalls {
public:
  PairedCalls(const Worker &Caller, const Worker &Callee)
      : Caller(Caller), Callee(Callee) {}

  void run() {
    std::vector<std::thread> Running;
    Running.reserve(Threads);
    for (int Index = 0; Index < Threads; ++Index)
      Running.emplace_back([this, Index] { measure(Index); });
    for (std::thread &Thread : Running)
      Thread.join();
  }

  Samples Direct;
  Samples Meshed;
  /// Latency through the mesh less the direct latency of the same pair.
  Samples Added;

private:
  void measure(int Thread) {
    httplib::Client Backend(Callee.Ip, Callee.BackendPort);
    httplib::Client Node(Caller.Ip, Caller.HttpPort);
    for (httplib::Client *Connection : {&Backend, &Node}) {
      Connection->set_keep_alive(true);
      Connection->set_tcp_nodelay(true);
      call(*Connection, "warm-up");
    }
    const std::chrono::duration<double> Gap(Threads / FLAGS_pairs_per_second);
    std::chrono::steady_clock::time_point Due =
        std::chrono::steady_clock::now() +
        Thread * std::chrono::milliseconds(1);
    for (int Pair = Thread; Pair < FLAGS_pairs; Pair += Threads) {
      std::this_thread::sleep_until(Due);
      Due += std::chrono::duration_cast<std::chrono::microseconds>(Gap);
      const std::string Id = std::to_string(Pair);
      const double DirectMs = call(Backend, Id);
      const double MeshMs = call(Node, Id);
      const std::lock_guard<std::mutex> Lock(Mutex);
      Direct.Millis.push_back(DirectMs);
      Meshed.Millis.push_back(MeshMs);
      Added.Millis.push_back(MeshMs - DirectMs);
    }
  }

  const Worker &Caller;
  const Worker &Callee;
  std::mutex Mutex;
};

int measureLatency() {
  Mesh Running({{"catalogue", 1, FLAGS_service_ms, 0, ""},
                {"orders", 1, FLAGS_service_ms, 0, ""}});
  if (!Running.startNodes()) {
    std::fprintf(stderr, "the nodes did not start serving\n");
    return 1;
  }
  PairedCalls Calls(*Running.workersOf("orders")[0],
                    *Running.workersOf("catalogue")[0]);
  Calls.run();
  const double Ratio =
      Calls.Meshed.percentile(0.5) / Calls.Direct.percentile(0.5);
  std::printf("%d pairs at %.0f/s, service time %.1f ms\n", FLAGS_pairs,
              FLAGS_pairs_per_second, FLAGS_service_ms);
  std::printf("direct  p50 %.2f ms, p99 %.2f ms\n",
              Calls.Direct.percentile(0.5), Calls.Direct.percentile(0.99));
  std::printf("mesh    p50 %.2f ms, p99 %.2f ms\n",
              Calls.Meshed.percentile(0.5), Calls.Meshed.percentile(0.99));
  std::printf("added   p50 %.2f ms, p99 %.2f ms (target p99 %.1f ms)\n",
              Calls.Added.percentile(0.5), Calls.Added.percentile(0.99),
              TargetP99Ms);
  std::printf("ratio of the medians %.2f (bound %.1f)\n", Ratio,
              LargestMedianRatio);
  return Ratio <= LargestMedianRatio ? 0 : 1;
}

} // namespace

} // namespace camphorpin::process

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  return camphorpin::process::measureLatency();
}
