#ifndef CAMPHORPIN_TESTS_STANDINS_RUNNINGREQUESTS_H
#define CAMPHORPIN_TESTS_STANDINS_RUNNINGREQUESTS_H

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace camphorpin::standins {

/// \class RunningRequests
/// \brief The slots of a backend server and the requests that wait for one.
class RunningRequests {
public:
  using Clock = std::chrono::steady_clock;

  struct Limits {
    std::size_t Slots = 1;
    std::size_t Waiting = 0;
  };

  /// \brief One request from its arrival to its end.
  struct Request {
    std::string Context;
    Clock::time_point Deadline;
    bool Running = false;
    bool Cancelled = false;
    std::condition_variable Wake;
  };

  explicit RunningRequests(Limits Bounds) : Bounds(Bounds) {}

  /// Waits for a slot.
  /// \returns false if the request was not started: no room to wait, draining,
  /// cancelled, or past its deadline.
  bool enter(Request &Value);

  /// Occupies the slot for \p Time.
  /// \returns false if the request was cancelled.
  bool work(Request &Value, std::chrono::microseconds Time);

  /// Gives the slot to the request that waits longest.
  void leave(Request &Value);

  /// \returns false if no such request is known.
  bool cancel(const std::string &Context);

  /// Sheds every request from now on.
  void drain();

  /// Waits until no request runs or waits.
  void waitUntilIdle();

  /// \returns running and waiting requests per slot.
  double load() const;

private:
  Limits Bounds;
  mutable std::mutex Mutex;
  std::condition_variable Idle;
  std::map<std::string, Request *> Known;
  std::deque<Request *> Waiting;
  std::size_t Running = 0;
  bool Draining = false;
};

} // namespace camphorpin::standins

#endif
