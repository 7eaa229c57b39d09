/// \file
/// \brief Counts the runs of keys and checks what callers were told.
#ifndef CAMPHORPIN_TESTS_CLAIMSORACLE_H
#define CAMPHORPIN_TESTS_CLAIMSORACLE_H

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
  bool First = false;
  std::uint64_t Order = 0;
  std::optional<Verdict> Told;
};

/// \class Execution
/// \brief One run of a key, as the oracle sees it.
struct Execution {
  SendId By = 0;
  std::uint64_t Order = 0;
};

/// \class Oracle
/// \brief The set of keys run, and what callers were told.
class Oracle {
public:
  SendId issue(const RequestKey &Key) {
    Send Value{Key, !Issued.contains(Key), ++Order, std::nullopt};
    Issued.insert(Key);
    Sends.push_back(Value);
    return Sends.size() - 1;
  }
  const Send &send(SendId Id) const { return Sends[Id]; }

  void run(SendId By) {
    std::vector<Execution> &Runs = Executions[Sends[By].Key];
    Runs.push_back({By, ++Order});
    Twice += Runs.size() == 2;
    ++Started;
    False += Sends[By].Told == Verdict::NotRun;
  }

  void told(SendId Id, Verdict Value) {
    Send &Asked = Sends[Id];
    // A second answer would reach another request.
    False += Asked.Told.has_value();
    Asked.Told = Value;
    ++Order;
    const std::vector<Execution> &Runs = Executions[Asked.Key];
    if (Value == Verdict::Ran)
      False += Runs.empty();
    if (Value != Verdict::NotRun)
      return;
    ++NotRun;
    for (const Execution &Run : Runs)
      if (Run.By == Id || Run.Order < Asked.Order) {
        ++False;
        break;
      }
  }

  bool ran(const RequestKey &Key) { return !Executions[Key].empty(); }

  std::size_t Twice = 0;
  std::size_t False = 0;
  std::size_t Started = 0;
  std::size_t NotRun = 0;

private:
  std::uint64_t Order = 0;
  std::vector<Send> Sends;
  std::set<RequestKey> Issued;
  std::map<RequestKey, std::vector<Execution>> Executions;
};

} // namespace camphorpin::test

#endif
