#include "camphorpin/src/Gateway/StoreWriter.h"

#include <algorithm>
#include <cassert>

namespace camphorpin {

namespace {

constexpr Duration ResponseTimeout = Duration::millis(1500);
constexpr Duration MinBackoff = Duration::millis(200);
constexpr Duration MaxBackoff = Duration::seconds(2);
/// Milliseconds by which an epoch is raised first if the store has seen a later
/// one, because the wall clock was set back. Each further step is larger by
/// FencedBits binary digits.
constexpr std::uint64_t FencedStep = 1000;
constexpr unsigned FencedBits = 3;
constexpr unsigned MaxFencedSteps = 10;

} // namespace

StoreWriter::StoreWriter(EventLoop &Loop, const Clock &Time,
                         Random &RandomSource, const HostAddress &Address,
                         const PlatformProtocol &Protocol, StoreFeed Feed,
                         EraCallback OnEra)
    : Loop(Loop), Time(Time), RandomSource(RandomSource), Protocol(Protocol),
      Feed(Feed), Pool(Loop, Address), Timer(Loop), OnEra(std::move(OnEra)) {}

void StoreWriter::write(StoreRecord Value) {
  Record = std::move(Value);
  ++RecordVersion;
  Pending = true;
  beginEpoch();
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
  // The store may take another write of the same epoch for a repeated one.
  beginEpoch();
  if (!Busy)
    send();
}

void StoreWriter::beginEpoch() {
  const std::int64_t Now = Time.wallNow().wholeMillis();
  Epoch = std::max(Epoch + 1,
                   static_cast<std::uint64_t>(std::max<std::int64_t>(0, Now)));
}

void StoreWriter::send() {
  Busy = true;
  Connection = Pool.acquire();
  ExchangeRequest Call;
  Call.Bytes = Protocol.appendRequest(Feed, *Record, Epoch);
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
    else if (Protocol.isFenced(Result.Response))
      Epoch += FencedStep << (FencedBits * std::min(Failures, MaxFencedSteps));
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
  if (Pending)
    beginEpoch();
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
