#include "camphorpin/src/Gateway/NetworkDisseminatorContext.h"

namespace camphorpin {

void NetworkDisseminatorContext::scheduleWakeup(Duration Span) {
  Timer.expires_after(detail::timerSpan(Span));
  Timer.async_wait([this](const boost::system::error_code &Error) {
    if (!Error)
      Wake();
  });
}

} // namespace camphorpin
