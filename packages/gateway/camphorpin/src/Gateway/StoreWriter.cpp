#include "camphorpin/src/Gateway/StoreWriter.h"

#include <algorithm>

namespace camphorpin {

namespace {

constexpr Duration ResponseTimeout = Duration::millis(1500);
constexpr Duration MinBackoff = Duration::millis(200);
constexpr Duration MaxBackoff = Duration::seconds(2);

} // namespace

StoreWriter::StoreWriter(EventLoop &Loop, Random &RandomSource,
                         const HostAddress &Address,
                         const PlatformProtocol &Protocol, StoreFeed Feed)
    : Loop(Loop), RandomSource(RandomSource), Protocol(Protocol), Feed(Feed),
      Pool(Loop, Address), Timer(Loop) {}

void StoreWriter::write(StoreRecord Record) {
  Pending = std::move(Record);
  ++PendingVersion;
  if (!Busy)
    send();
}

void StoreWriter::send() {
  Busy = true;
  Connection = Pool.acquire();
  ExchangeRequest Call;
  Call.Bytes = Protocol.appendRequest(Feed, *Pending);
  const std::uint64_t SentVersion = PendingVersion;
  Connection->exchange(std::move(Call), [this, SentVersion](
                                            const ExchangeResult &Result) {
    Timer.cancel();
    if (Result.Outcome == ExchangeOutcome::Complete &&
        Result.Response.result_int() == 200 && SentVersion == PendingVersion)
      Pending.reset();
    onResult(Result);
  });
  Timer.expires_after(detail::timerSpan(ResponseTimeout));
  Timer.async_wait([this](const boost::system::error_code &Error) {
    if (Error)
      return;
    Connection->close();
    retryLater();
  });
}

void StoreWriter::onResult(const ExchangeResult &Result) {
  if (Result.Outcome == ExchangeOutcome::Complete)
    Pool.release(Connection);
  if (!Pending) {
    Busy = false;
    Failures = 0;
    return;
  }
  retryLater();
}

void StoreWriter::retryLater() {
  const double Factor = 1U << std::min(Failures, 4U);
  ++Failures;
  const Duration Delay = std::min(MaxBackoff, MinBackoff * Factor) *
                         (0.5 + RandomSource.uniform01());
  Timer.expires_after(detail::timerSpan(Delay));
  Timer.async_wait([this](const boost::system::error_code &Error) {
    if (!Error)
      send();
  });
}

} // namespace camphorpin
