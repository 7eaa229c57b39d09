#ifndef CAMPHORPIN_TESTS_STANDINS_LOGSTORE_H
#define CAMPHORPIN_TESTS_STANDINS_LOGSTORE_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

namespace camphorpin::standins {

/// \class LogStore
/// \brief The records of the platform's log within its retention.
class LogStore {
public:
  /// \param Retention number of records that are kept.
  explicit LogStore(std::size_t Retention) : Retention(Retention) {}

  /// \returns the offset of the new record.
  std::uint64_t append(std::string Record);

  /// \returns the reply to a read as JSON.
  std::string read(std::uint64_t From, std::size_t Max) const;

private:
  std::size_t Retention;
  mutable std::mutex Mutex;
  std::deque<std::string> Records;
  std::uint64_t First = 0;
};

} // namespace camphorpin::standins

#endif
