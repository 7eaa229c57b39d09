#include "camphorpin/src/Gateway/StoreWriter.h"

#include <algorithm>
#include <cassert>

namespace camphorpin {

namespace {

constexpr Duration ResponseTimeout = Duration::millis(1500);
constexpr Duration MinBackoff = Duration::millis(200);
constexpr Duration MaxBackoff = Duration::seconds(2);

} // namespace

StoreWriter::StoreWriter(EventLoop &Loop, Random &RandomSource,
                         const HostAddress &Address,
                         const PlatformProtocol &Protocol, StoreFeed Feed,
                         EraCallback OnEra)
    : Loop(Loop), RandomSource(RandomSource), Protocol(Protocol), Feed(Feed),
      Pool(Loop, Address), Timer(Loop), OnEra(std::move(OnEra)) {}

void StoreWriter::write(StoreRecord Value) {
  Record = std::move(Value);
  ++RecordVersion;
  Pending = true;
  if (!Busy)
    send();
}

void StoreWriter::adopt(StoreRecord Value, std::uint64_t Era) {
  assert(!Record && "nothing has been written");
  Record = std::move(Value);
  ++RecordVersion;
  AcknowledgedEra = Era;
  onStoreEra(Era);
}

void StoreWriter::onStoreEra(std::uint64_t Era) {
  LatestEra = std::max(LatestEra, Era);
  if (AcknowledgedEra < LatestEra)
    writeAgain();
}

void StoreWriter::writeAgain() {
  if (!Record || Pending)
    return;
  Pending = true;
  if (!Busy)
    send();
}

void StoreWriter::send() {
  Busy = true;
  Connection = Pool.acquire();
  ExchangeRequest Call;
  Call.Bytes = Protocol.appendRequest(Feed, *Record);
  const std::uint64_t SentVersion = RecordVersion;
  Connection->exchange(std::move(Call),
                       [this, SentVersion](const ExchangeResult &Result) {
                         onResult(Result, SentVersion);
                       });
  Timer.expires_after(detail::timerSpan(ResponseTimeout));
  Timer.async_wait([this](const boost::system::error_code &Error) {
    if (Error)
      return;
    Connection->close();
    retryLater();
  });
}

void StoreWriter::onResult(const ExchangeResult &Result,
                           std::uint64_t SentVersion) {
  Timer.cancel();
  if (Result.Outcome == ExchangeOutcome::Complete) {
    Pool.release(Connection);
    if (Result.Response.result_int() == 200 && SentVersion == RecordVersion)
      onAcknowledged(Result.Response);
  }
  if (Pending) {
    retryLater();
    return;
  }
  Busy = false;
  Failures = 0;
}

void StoreWriter::onAcknowledged(const HttpResponse &Response) {
  AcknowledgedEra = Protocol.storeEra(Response).value_or(0);
  // An acknowledgement from before the latest era says nothing about it.
  Pending = AcknowledgedEra != 0 && AcknowledgedEra < LatestEra;
  if (OnEra)
    OnEra(AcknowledgedEra);
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
