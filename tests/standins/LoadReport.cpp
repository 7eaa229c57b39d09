#include "LoadReport.h"

#include <nlohmann/json.hpp>

namespace camphorpin::standins {

void LoadReport::setKind(const std::string &Value) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Kind = Value;
}

std::string LoadReport::report(double Load) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const std::chrono::steady_clock::time_point Now =
      std::chrono::steady_clock::now();
  if (Kind != "lagging" || Now - Taken > Lag) {
    Stale = Load;
    Taken = Now;
  }
  const double Said = Kind == "misleading" ? 0 : Stale;
  return nlohmann::json{{"healthy", Kind == "misleading" || Said < 1},
                        {"load", Said}}
      .dump();
}

} // namespace camphorpin::standins
