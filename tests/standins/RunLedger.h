#ifndef CAMPHORPIN_TESTS_STANDINS_RUNLEDGER_H
#define CAMPHORPIN_TESTS_STANDINS_RUNLEDGER_H

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace camphorpin::standins {

/// \class RunLedger
/// \brief Records which requests a backend server ran: the oracle for "not run"
/// and "at most once".
///
/// Each start is written to a file before the work begins, so that the record
/// survives a crash of the stand-in. A line has the fields
/// `<micros> <operation> <key> <id>`; an empty field is "-".
class RunLedger {
public:
  /// \param Path file to append to; none if empty.
  explicit RunLedger(const std::string &Path);
  ~RunLedger();

  RunLedger(const RunLedger &) = delete;
  RunLedger &operator=(const RunLedger &) = delete;

  void recordStart(const std::string &Operation, const std::string &Key,
                   const std::string &Id);

  /// \returns a JSON object with the number of runs by key and by id.
  std::string toJson() const;

private:
  mutable std::mutex Mutex;
  std::map<std::string, std::uint64_t> RunsByKey;
  std::map<std::string, std::uint64_t> RunsById;
  int File = -1;
};

} // namespace camphorpin::standins

#endif
