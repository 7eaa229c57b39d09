#ifndef CAMPHORPIN_TESTS_STANDINS_LOADREPORT_H
#define CAMPHORPIN_TESTS_STANDINS_LOADREPORT_H

#include <chrono>
#include <mutex>
#include <string>

namespace camphorpin::standins {

/// \class LoadReport
/// \brief What a backend server says about its load, which need not be true.
class LoadReport {
public:
  /// Sets the kind: "true", "lagging" (up to 3 s old) or "misleading"
  /// (always idle and healthy).
  void setKind(const std::string &Value);

  /// \param Load the load now, in requests per slot.
  /// \returns the JSON of /camphorpin/health.
  std::string report(double Load);

private:
  static constexpr std::chrono::milliseconds Lag{3000};

  std::mutex Mutex;
  std::string Kind = "true";
  double Stale = 0;
  std::chrono::steady_clock::time_point Taken;
};

} // namespace camphorpin::standins

#endif
