#include "camphorpin/src/Daemon/WakeSignal.h"

#include <cassert>
#include <cstdint>
#include <sys/eventfd.h>
#include <unistd.h>

namespace camphorpin {

WakeSignal::WakeSignal()
    : Descriptor(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  assert(Descriptor >= 0 && "an event counter can be made");
}

WakeSignal::~WakeSignal() { ::close(Descriptor); }

void WakeSignal::give() const {
  const std::uint64_t One = 1;
  // The write only fails when the counter is full, and then the thread wakes.
  [[maybe_unused]] const ssize_t Written =
      ::write(Descriptor, &One, sizeof(One));
}

void WakeSignal::clear() const {
  std::uint64_t Count = 0;
  [[maybe_unused]] const ssize_t Got =
      ::read(Descriptor, &Count, sizeof(Count));
}

} // namespace camphorpin
