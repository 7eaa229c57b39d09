#ifndef CAMPHORPIN_TESTS_STANDINS_SERVICETIME_H
#define CAMPHORPIN_TESTS_STANDINS_SERVICETIME_H

#include <chrono>
#include <cstdint>
#include <mutex>
#include <random>

namespace camphorpin::standins {

/// \class ServiceTime
/// \brief How long a backend server works on a request.
class ServiceTime {
public:
  struct Settings {
    double BaseMs = 5;
    /// The time is uniform in [BaseMs, BaseMs + JitterMs].
    double JitterMs = 0;
    /// For this long after the start the time is longer, by ColdFactor at
    /// first and less with time.
    double ColdMs = 0;
    double ColdFactor = 5;
    std::uint64_t Seed = 1;
  };

  explicit ServiceTime(const Settings &Values);

  std::chrono::microseconds next();

  void change(double BaseMs, double JitterMs);

private:
  double coldFactor() const;

  std::mutex Mutex;
  Settings Values;
  std::mt19937_64 Engine;
  std::chrono::steady_clock::time_point Start;
};

} // namespace camphorpin::standins

#endif
