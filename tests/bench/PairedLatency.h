#ifndef CAMPHORPIN_TESTS_BENCH_PAIREDLATENCY_H
#define CAMPHORPIN_TESTS_BENCH_PAIREDLATENCY_H

#include <chrono>
#include <functional>
#include <httplib.h>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace camphorpin::process {

/// \class LatencySamples
/// \brief Latencies of one kind of call, in ms.
class LatencySamples {
public:
  void add(double Millis) { Values.push_back(Millis); }

  /// \param Share 0 to 1; at least one sample has been added.
  double percentile(double Share) const;

private:
  std::vector<double> Values;
};

/// \class PairedLatency
/// \brief Compares direct calls of a backend server with calls through nodes.
///
/// Each caller alternates between the two, so that the load of the host meets
/// both alike.
class PairedLatency {
public:
  /// Makes one call.
  /// \returns the latency in ms, or nothing if the call is not served.
  using Call = std::function<std::optional<double>(const std::string &Id)>;

  /// What one thread calls, over connections of its own.
  struct Caller {
    Call Direct;
    Call Meshed;
  };

  /// \param Callers threads that call at the same time, at least 1.
  PairedLatency(int Callers, int Pairs, double PairsPerSecond);

  /// \param MakeCaller is called in each thread.
  void run(const std::function<Caller()> &MakeCaller);

  /// Prints the percentiles beside the target for the added latency.
  void print() const;

  /// \returns pairs of which a call was not served.
  int failed() const { return Failed; }

  /// \returns the median through nodes as a multiple of the direct one.
  double medianRatio() const;

private:
  void measure(int Index, const Caller &Calls);
  void record(std::optional<double> DirectMs, std::optional<double> MeshedMs);

  const int Callers;
  const int Pairs;
  const double PairsPerSecond;
  std::mutex Mutex;
  int Failed = 0;
  LatencySamples Direct;
  LatencySamples Meshed;
  /// Latency through nodes less the direct latency of the same pair.
  LatencySamples Added;
};

/// \returns a client that keeps its connection and sends at once.
std::shared_ptr<httplib::Client> keptConnection(const std::string &Ip,
                                                int Port);

/// \returns the ms that have passed since \p Start.
double millisSince(std::chrono::steady_clock::time_point Start);

} // namespace camphorpin::process

#endif
