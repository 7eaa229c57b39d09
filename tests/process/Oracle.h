#ifndef CAMPHORPIN_TESTS_PROCESS_ORACLE_H
#define CAMPHORPIN_TESTS_PROCESS_ORACLE_H

#include "Mesh.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace camphorpin::process {

/// \class Run
/// \brief A run that a backend server recorded before it began.
struct Run {
  std::int64_t StartedAt = 0;
  std::string Operation;
  std::string Key;
  std::string Id;
};

/// \class Send
/// \brief A send that the load generator recorded.
struct Send {
  std::int64_t SentAt = 0;
  std::int64_t AnsweredAt = 0;
  std::string Operation;
  std::string Key;
  std::string Id;
  int Attempt = 1;
  std::string Outcome;
  /// Status and reason of the answer.
  std::string Detail;
};

/// \class Oracle
/// \brief Compares what callers were told with what backend servers ran.
class Oracle {
public:
  /// Reads the ledgers of all workers of \p Source, also of ended ones, and
  /// the sends of its load generator.
  explicit Oracle(Mesh &Source);

  /// \returns for each fault of the verdict "not run" a line: a run that can
  /// only come from sends that were answered "not run", or a key that is said
  /// not to have run by an answer to a repeated send although it had.
  std::vector<std::string> falseNotRuns() const;

  /// \returns the keys of non-idempotent operations that ran more than once,
  /// also those of nested calls.
  std::vector<std::string> repeatedKeys() const;

  /// \returns a line for each served request that no backend server ran.
  std::vector<std::string> inventedAnswers() const;

  /// \returns a line for each request of a caller that a backend server began
  /// and that no send was served for, with its answers and, if a nested call
  /// failed, the reason.
  std::vector<std::string> interruptedRequests() const;

  /// \returns the number of runs of \p Operation.
  std::size_t runsOf(std::string_view Operation) const;

  /// \returns the number of runs of \p Operation for each request whose id
  /// begins with \p IdPrefix.
  std::map<std::string, std::size_t> runsById(std::string_view Operation,
                                              std::string_view IdPrefix) const;

  /// \returns the runs in the ledger file at \p Path that began after
  /// \p Micros on the monotonic clock.
  static std::vector<Run> runsAfter(const std::string &Path,
                                    std::int64_t Micros);

private:
  /// \returns why a nested call of request \p Id failed; empty if none did.
  std::string failureOf(const std::string &Id) const;

  std::vector<Run> Runs;
  std::vector<Send> Sends;
  /// What the backend servers printed of nested calls that failed.
  std::string Failures;
};

/// \returns the first lines of \p Faults for a failure message.
std::string describe(const std::vector<std::string> &Faults);

} // namespace camphorpin::process

#endif
