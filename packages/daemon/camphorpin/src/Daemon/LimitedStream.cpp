#include "camphorpin/src/Daemon/LimitedStream.h"

#include <kj/debug.h>

namespace camphorpin::detail {

namespace {

/// Reads up to this size are neither counted nor limited in time: an idle
/// connection waits for the first bytes of a message.
constexpr std::size_t MaxFreeBytes = 4096;
/// Time in which the rest of a message must arrive.
constexpr kj::Duration MessageTimeout = 5 * kj::SECONDS;

} // namespace

kj::Promise<std::size_t> LimitedStream::tryRead(void *Target,
                                                std::size_t MinBytes,
                                                std::size_t MaxBytes) {
  kj::Promise<std::size_t> Read = Inner->tryRead(Target, MinBytes, MaxBytes)
                                      .then([this](std::size_t Count) {
                                        LastRead = Timer.now();
                                        return Count;
                                      });
  if (MinBytes <= MaxFreeBytes)
    return Read;
  kj::Own<BudgetShare> Held = kj::heap<BudgetShare>(Budget);
  if (!Held->resize(MinBytes))
    return KJ_EXCEPTION(OVERLOADED, "no room for a message of a peer");
  return Timer.timeoutAfter(MessageTimeout, kj::mv(Read)).attach(kj::mv(Held));
}

} // namespace camphorpin::detail
