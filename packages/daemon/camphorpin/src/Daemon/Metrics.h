#ifndef CAMPHORPIN_SRC_DAEMON_METRICS_H
#define CAMPHORPIN_SRC_DAEMON_METRICS_H

#include "camphorpin/Engine.h"
#include "camphorpin/src/Daemon/BucketCounts.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace camphorpin {

/// \brief In which role a node answered a request.
enum class RequestSide : std::uint8_t {
  /// A caller or the local backend server sent the request here.
  Ingress,
  /// Another node sent it here for the local backend server.
  Served,
};

/// \class RequestSample
/// \brief One answered request.
struct RequestSample {
  RequestSide Side = RequestSide::Ingress;
  CallerName Caller;
  camphorpin::Rank Rank;
  camphorpin::Verdict Verdict = camphorpin::Verdict::NotRun;
  RefusalReason Reason = RefusalReason::None;
  Duration Elapsed;
};

/// \class Gauge
/// \brief A value that is read when metrics are asked for.
struct Gauge {
  std::string Name;
  std::string Help;
  double Value = 0;
};

/// \class Metrics
/// \brief Counters and histograms per caller and rank.
///
/// At most MaxCallers callers have series of their own; further callers are
/// counted under "other", because a caller chooses its own name.
class Metrics {
public:
  static constexpr std::size_t MaxCallers = 32;

  void record(const RequestSample &Sample);

  /// \returns all series in the text exposition format.
  std::string toText(const std::vector<Gauge> &Gauges) const;

private:
  struct CounterKey {
    RequestSide Side;
    std::string Caller;
    camphorpin::Rank Rank;
    camphorpin::Verdict Verdict;
    RefusalReason Reason;
    auto operator<=>(const CounterKey &) const = default;
  };

  struct HistogramKey {
    RequestSide Side;
    std::string Caller;
    camphorpin::Rank Rank;
    auto operator<=>(const HistogramKey &) const = default;
  };

  const std::string &callerLabel(const CallerName &Caller);
  void writeCounters(std::string &Target) const;
  void writeHistograms(std::string &Target) const;

  mutable std::mutex Mutex;
  std::set<std::string> Callers;
  std::map<CounterKey, std::uint64_t> Counters;
  std::map<HistogramKey, DurationHistogram> Histograms;
};

} // namespace camphorpin

#endif
