#include "ServiceTime.h"

namespace camphorpin::standins {

ServiceTime::ServiceTime(const Settings &Values)
    : Values(Values), Engine(Values.Seed),
      Start(std::chrono::steady_clock::now()) {}

std::chrono::microseconds ServiceTime::next() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::uniform_real_distribution<double> Jitter(0, 1);
  const double Ms =
      (Values.BaseMs + Values.JitterMs * Jitter(Engine)) * coldFactor();
  return std::chrono::microseconds(static_cast<std::int64_t>(Ms * 1000));
}

void ServiceTime::change(double BaseMs, double JitterMs) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Values.BaseMs = BaseMs;
  Values.JitterMs = JitterMs;
}

double ServiceTime::coldFactor() const {
  const std::chrono::duration<double, std::milli> Age =
      std::chrono::steady_clock::now() - Start;
  if (Age.count() >= Values.ColdMs)
    return 1;
  return 1 + (Values.ColdFactor - 1) * (1 - Age.count() / Values.ColdMs);
}

} // namespace camphorpin::standins
