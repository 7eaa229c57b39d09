#include "camphorpin/src/Retry/RetryRatio.h"

#include <algorithm>
#include <cassert>

namespace camphorpin {

RetryRatio::RetryRatio(double Ratio) : Ratio(Ratio) {
  assert(Ratio >= 0 && Ratio <= 1 && "a ratio is a share");
}

void RetryRatio::onFirstAttempt() { Tokens = std::min(Burst, Tokens + Ratio); }

bool RetryRatio::takeRetry() {
  if (!allows())
    return false;
  Tokens -= 1;
  return true;
}

} // namespace camphorpin
