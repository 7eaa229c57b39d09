/// \file
/// \brief Counts the runs of keys and checks the verdicts sent to callers.
#ifndef CAMPHORPIN_TESTS_EXECUTIONORACLE_H
#define CAMPHORPIN_TESTS_EXECUTIONORACLE_H

#include "camphorpin/Claims.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace camphorpin::test {

/// \class Send
/// \brief One send of a key by the client.
struct Send {
  RequestKey Key;
  /// True for the first send of the key.
  bool First = false;
  /// The position in the sequence of sends, runs and verdicts.
  std::uint64_t Order = 0;
  std::optional<Verdict> Reported;
};

/// \class Execution
/// \brief One run of a key.
struct Execution {
  SendId Id = 0;
  std::uint64_t Order = 0;
};

/// \class ExecutionOracle
/// \brief Records sends, runs and verdicts, and counts violations: keys that
/// ran twice and false verdicts.
class ExecutionOracle {
public:
  SendId recordSend(const RequestKey &Key) {
    Send NewSend{Key, !Issued.contains(Key), ++Order, std::nullopt};
    Issued.insert(Key);
    Sends.push_back(NewSend);
    return Sends.size() - 1;
  }
  const Send &send(SendId Id) const { return Sends[Id]; }

  void recordRun(SendId Id) {
    std::vector<Execution> &Runs = Executions[Sends[Id].Key];
    Runs.push_back({Id, ++Order});
    KeysRunTwice += Runs.size() == 2;
    ++RunCount;
    FalseVerdicts += Sends[Id].Reported == Verdict::NotRun;
  }

  void recordVerdict(SendId Id, Verdict Reported) {
    Send &Recorded = Sends[Id];
    // A second answer to a send would be taken as that of another request.
    FalseVerdicts += Recorded.Reported.has_value();
    Recorded.Reported = Reported;
    ++Order;
    const std::vector<Execution> &Runs = Executions[Recorded.Key];
    if (Reported == Verdict::Ran)
      FalseVerdicts += Runs.empty();
    if (Reported != Verdict::NotRun)
      return;
    ++NotRunVerdicts;
    for (const Execution &Run : Runs)
      if (Run.Id == Id || Run.Order < Recorded.Order) {
        ++FalseVerdicts;
        break;
      }
  }

  bool ran(const RequestKey &Key) { return !Executions[Key].empty(); }

  std::size_t KeysRunTwice = 0;
  std::size_t FalseVerdicts = 0;
  std::size_t RunCount = 0;
  std::size_t NotRunVerdicts = 0;

private:
  std::uint64_t Order = 0;
  std::vector<Send> Sends;
  std::set<RequestKey> Issued;
  std::map<RequestKey, std::vector<Execution>> Executions;
};

} // namespace camphorpin::test

#endif
