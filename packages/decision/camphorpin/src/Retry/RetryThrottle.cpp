#include "camphorpin/src/Retry/RetryThrottle.h"

#include <algorithm>
#include <cassert>

namespace camphorpin {

RetryThrottle::RetryThrottle(double Ratio) : Ratio(Ratio) {
  assert(Ratio >= 0 && Ratio <= 1 && "the ratio must be in [0, 1]");
}

void RetryThrottle::onFirstAttempt() {
  Tokens = std::min(Burst, Tokens + Ratio);
}

bool RetryThrottle::tryAcquire() {
  if (!allows())
    return false;
  Tokens -= 1;
  return true;
}

} // namespace camphorpin
