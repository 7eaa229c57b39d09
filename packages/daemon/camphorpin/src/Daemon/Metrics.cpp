#include "camphorpin/src/Daemon/Metrics.h"

#include <array>
#include <cstdio>
#include <string_view>

namespace camphorpin {

namespace {

const std::string OtherCallers = "other";

constexpr std::string_view CounterName = "camphorpin_requests_total";
constexpr std::string_view HistogramName =
    "camphorpin_request_duration_milliseconds";

std::string_view toString(RequestSide Value) {
  return Value == RequestSide::Ingress ? "ingress" : "served";
}

std::string numberText(double Value) {
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%.10g", Value);
  return Text.data();
}

void writeHead(std::string &Target, std::string_view Name,
               std::string_view Help, std::string_view Type) {
  Target.append("# HELP ").append(Name).append(" ").append(Help);
  Target.append("\n# TYPE ").append(Name).append(" ").append(Type);
  Target.append("\n");
}

/// Names of callers hold no character that would need an escape.
std::string labels(RequestSide Side, std::string_view Caller, Rank Value) {
  std::string Text = "side=\"";
  Text.append(toString(Side)).append("\",caller=\"").append(Caller);
  Text.append("\",rank=\"").append(std::to_string(Value.index()));
  return Text.append("\"");
}

void writeLine(std::string &Target, std::string_view Name,
               std::string_view Labels, std::string_view Value) {
  Target.append(Name).append("{").append(Labels).append("} ");
  Target.append(Value).append("\n");
}

void writeHistogram(std::string &Target, std::string_view Labels,
                    const DurationHistogram &Values) {
  const BucketArray &Counts =
      boost::accumulators::extract_result<BucketCounts>(Values);
  const std::string Name(HistogramName);
  std::uint64_t Sum = 0;
  for (std::size_t Index = 0; Index < Counts.size(); ++Index) {
    Sum += Counts.at(Index);
    const std::string Bound = Index < BucketBounds.size()
                                  ? numberText(BucketBounds.at(Index))
                                  : "+Inf";
    writeLine(Target, Name + "_bucket",
              std::string(Labels) + ",le=\"" + Bound + "\"",
              std::to_string(Sum));
  }
  writeLine(Target, Name + "_sum", Labels,
            numberText(boost::accumulators::sum(Values)));
  writeLine(Target, Name + "_count", Labels, std::to_string(Sum));
}

} // namespace

void Metrics::record(const RequestSample &Sample) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const std::string &Caller = callerLabel(Sample.Caller);
  ++Counters[{Sample.Side, Caller, Sample.Rank, Sample.Verdict, Sample.Reason}];
  Histograms[{Sample.Side, Caller, Sample.Rank}](Sample.Elapsed.toMillis());
}

std::string Metrics::toText(const std::vector<Gauge> &Gauges) const {
  std::string Result;
  for (const Gauge &Value : Gauges) {
    writeHead(Result, Value.Name, Value.Help, "gauge");
    Result += Value.Name + " " + numberText(Value.Value) + "\n";
  }
  const std::lock_guard<std::mutex> Lock(Mutex);
  writeCounters(Result);
  writeHistograms(Result);
  return Result;
}

const std::string &Metrics::callerLabel(const CallerName &Caller) {
  const auto Known = Callers.find(Caller.string());
  if (Known != Callers.end())
    return *Known;
  if (Callers.size() >= MaxCallers)
    return OtherCallers;
  return *Callers.insert(Caller.string()).first;
}

void Metrics::writeCounters(std::string &Target) const {
  writeHead(Target, CounterName, "Answered requests.", "counter");
  for (const auto &[Key, Count] : Counters) {
    std::string Labels = labels(Key.Side, Key.Caller, Key.Rank);
    Labels.append(",verdict=\"").append(camphorpin::toString(Key.Verdict));
    Labels.append("\",reason=\"").append(camphorpin::toString(Key.Reason));
    Labels.append("\"");
    writeLine(Target, CounterName, Labels, std::to_string(Count));
  }
}

void Metrics::writeHistograms(std::string &Target) const {
  writeHead(Target, HistogramName, "Time from arrival to answer.", "histogram");
  for (const auto &[Key, Values] : Histograms)
    writeHistogram(Target, labels(Key.Side, Key.Caller, Key.Rank), Values);
}

} // namespace camphorpin
