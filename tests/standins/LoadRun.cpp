#include "LoadRun.h"

#include "Caller.h"

#include "camphorpin/Core.h"

#include <algorithm>
#include <random>
#include <thread>

namespace camphorpin::standins {

namespace {

constexpr std::int64_t LateMicros = 50000;

bool mayResend(LoadOutcome Outcome) {
  return Outcome != LoadOutcome::Served && Outcome != LoadOutcome::Wrong &&
         Outcome != LoadOutcome::RanWithoutResult;
}

} // namespace

LoadRun::LoadRun(const LoadPlan &Plan) : Plan(Plan) {
  for (std::size_t Stream = 0; Stream < Plan.Streams.size(); ++Stream)
    schedule(Stream, Plan.Seed * 1000 + Stream);
  std::stable_sort(Jobs.begin(), Jobs.end(), [](const Job &A, const Job &B) {
    return A.DueMicros < B.DueMicros;
  });
}

void LoadRun::schedule(std::size_t Stream, std::uint64_t Seed) {
  const LoadStream &Values = Plan.Streams[Stream];
  SeededRandom Source(Seed);
  std::mt19937_64 Engine(Seed);
  std::exponential_distribution<double> Gap(Values.Rate / 1e6);
  // The keys of a repeated run must be new to the mesh.
  SeededRandom KeySource(Seed ^ static_cast<std::uint64_t>(monotonicMicros()));
  const SystemClock Time;
  const double End = Plan.DurationMs * 1e3;
  for (double Due = Gap(Engine); Due < End; Due += Gap(Engine)) {
    Job Value;
    Value.DueMicros = static_cast<std::int64_t>(Due);
    Value.Target = Source.below(Plan.Targets.size());
    Value.Record.Stream = Stream;
    Value.Record.Id = std::to_string(Seed) + "-" + std::to_string(Jobs.size());
    if (Values.Keyed)
      Value.Record.Key = RequestKey::make(Time.wallNow(), KeySource).toString();
    const bool Twice = Source.uniform01() < Values.Duplicates;
    Jobs.push_back(Value);
    if (!Twice)
      continue;
    ++Value.Target;
    Value.Record.Attempt = 2;
    Value.Record.Duplicate = true;
    Jobs.push_back(Value);
  }
}

std::vector<SendRecord> LoadRun::run() {
  const std::int64_t Start = monotonicMicros();
  std::vector<std::thread> Threads;
  for (std::size_t Index = 0; Index < Plan.Threads; ++Index)
    Threads.emplace_back([this, Start] { work(Start); });
  for (std::thread &Thread : Threads)
    Thread.join();
  return std::move(Records);
}

void LoadRun::work(std::int64_t Start) {
  Caller Sender(Plan);
  for (std::size_t Index = NextJob++; Index < Jobs.size(); Index = NextJob++) {
    Job &Value = Jobs[Index];
    const std::int64_t Wait = Start + Value.DueMicros - monotonicMicros();
    if (Wait > 0)
      std::this_thread::sleep_for(std::chrono::microseconds(Wait));
    else if (Wait < -LateMicros)
      ++Late;
    perform(Value, Sender);
  }
}

void LoadRun::perform(Job &Value, Caller &Sender) {
  const LoadStream &Stream = Plan.Streams[Value.Record.Stream];
  for (int Sent = 0;; ++Sent) {
    SendRecord Record = Value.Record;
    Record.Attempt += Sent;
    Sender.send(Value.Target + static_cast<std::size_t>(Sent), Record);
    Record.Final = Record.Duplicate || Sent >= Stream.Resends ||
                   !mayResend(Record.Outcome);
    const bool Ended = Record.Final;
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      Records.push_back(std::move(Record));
    }
    if (Ended)
      return;
    std::this_thread::sleep_for(
        std::chrono::milliseconds(Stream.ResendPauseMs));
  }
}

} // namespace camphorpin::standins
