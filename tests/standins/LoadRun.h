#ifndef CAMPHORPIN_TESTS_STANDINS_LOADRUN_H
#define CAMPHORPIN_TESTS_STANDINS_LOADRUN_H

#include "LoadOutcome.h"
#include "LoadPlan.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <vector>

namespace camphorpin::standins {

/// \class LoadRun
/// \brief Sends the requests of a plan at their times, whatever the answers.
class LoadRun {
public:
  explicit LoadRun(const LoadPlan &Plan);

  /// Sends everything and waits for all answers.
  /// \returns one record per send.
  std::vector<SendRecord> run();

  /// \returns the number of requests that were sent more than 50 ms late
  /// because all threads were busy.
  std::size_t lateSends() const { return Late; }

private:
  struct Job {
    std::int64_t DueMicros = 0;
    std::size_t Target = 0;
    SendRecord Record;
  };

  void schedule(std::size_t Stream, std::uint64_t Seed);
  void work(std::int64_t Start);
  void perform(Job &Value, class Caller &Sender);

  const LoadPlan &Plan;
  std::vector<Job> Jobs;
  std::atomic<std::size_t> NextJob = 0;
  std::atomic<std::size_t> Late = 0;
  std::mutex Mutex;
  std::vector<SendRecord> Records;
};

} // namespace camphorpin::standins

#endif
