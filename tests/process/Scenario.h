#ifndef CAMPHORPIN_TESTS_PROCESS_SCENARIO_H
#define CAMPHORPIN_TESTS_PROCESS_SCENARIO_H

#include "Oracle.h"

#include <string>

namespace camphorpin::process {

/// \class Scenario
/// \brief A mesh of the four services under a mixed load, for one failure test.
///
/// The load has payments (a chain of three non-idempotent calls, sent again up
/// to three times, some also twice at once through different nodes) and
/// lookups.
class Scenario {
public:
  /// \param WorkersPerService at least 2, so that one may fail.
  explicit Scenario(int WorkersPerService = 2,
                    const std::function<void(Worker &)> &Adjust = {});

  /// Starts the nodes and waits until the home sets are agreed on and a short
  /// load is served completely.
  bool start() { return Running.startNodes() && recovers(); }

  Mesh &mesh() { return Running; }

  /// \returns the first worker of \p Service.
  Worker &worker(std::string_view Service, std::size_t Index = 0);

  /// Starts the load.
  /// \param LossAllowed callers may lose connections, because nodes fail.
  void startLoad(int Millis, bool LossAllowed);

  /// Waits until \p Count further runs of \p Operation have begun, so that a
  /// failure hits a mesh at work.
  bool waitForRuns(std::string_view Operation, std::size_t Count);

  /// Waits for the end of the load.
  /// \returns the faults in what callers were told, one a line; empty if all
  /// answers were whole and their own, and all verdicts true.
  std::string finishLoad();

  const LoadResult &result() const { return Result; }

  /// Sends short loads until one is served completely.
  /// \returns false if that does not happen within a generous time.
  bool recovers();

private:
  nlohmann::json plan(int Millis, bool LossAllowed);

  Mesh Running;
  LoadResult Result;
  std::uint64_t Seed = 11;
};

} // namespace camphorpin::process

#endif
