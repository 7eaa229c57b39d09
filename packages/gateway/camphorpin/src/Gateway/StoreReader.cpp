#include "camphorpin/src/Gateway/StoreReader.h"

#include <algorithm>

namespace camphorpin {

namespace {

/// Maximum time for an answer in addition to the long-poll timeout.
constexpr Duration ResponseTimeout = Duration::millis(1500);

} // namespace

StoreReader::StoreReader(EventLoop &Loop, Random &RandomSource,
                         const HostAddress &Address,
                         const PlatformProtocol &Protocol, StoreFeed Feed,
                         StoreReaderListener &Listener)
    : Loop(Loop), RandomSource(RandomSource), Protocol(Protocol), Feed(Feed),
      Listener(Listener), Pool(Loop, Address), Timer(Loop) {}

void StoreReader::stop() {
  Stopped = true;
  Timer.cancel();
  if (Connection)
    Connection->close();
  Pool.clear();
}

void StoreReader::readNewest() {
  call(Protocol.newestRequest(Feed, PageKey), ResponseTimeout, /*Newest=*/true);
}

void StoreReader::readNext() {
  const Duration Wait = Listener.longPollTimeout(Feed);
  call(Protocol.readRequest(Feed, Position, Wait), Wait + ResponseTimeout,
       /*Newest=*/false);
}

void StoreReader::restartRead() {
  if (Stopped || !PositionKnown || !LongPolling)
    return;
  Connection->close();
  readNext();
}

void StoreReader::resume() {
  if (!Paused || Stopped)
    return;
  Paused = false;
  continueReading();
}

void StoreReader::call(std::string Bytes, Duration Timeout, bool Newest) {
  if (Stopped)
    return;
  Connection = Pool.acquire();
  LongPolling = !Newest;
  ExchangeRequest Call;
  Call.Bytes = std::move(Bytes);
  Connection->exchange(std::move(Call),
                       [this, Newest](const ExchangeResult &Result) {
                         onResult(Result, Newest);
                       });
  Timer.expires_after(detail::timerSpan(Timeout));
  Timer.async_wait([this](const boost::system::error_code &Error) {
    if (Error || Stopped)
      return;
    LongPolling = false;
    Connection->close();
    onFault(StoreError::Refused);
  });
}

void StoreReader::onResult(const ExchangeResult &Result, bool Newest) {
  if (Stopped)
    return;
  LongPolling = false;
  Timer.cancel();
  if (Result.Outcome != ExchangeOutcome::Complete) {
    onFault(StoreError::Refused);
    return;
  }
  Pool.release(Connection);
  StoreReply Reply = Newest
                         ? Protocol.parseNewestReply(Result.Response)
                         : Protocol.parseReadReply(Result.Response, Position);
  if (Reply.Fault != StoreError::None) {
    onFault(Reply.Fault);
    return;
  }
  Failures = 0;
  setReachable(true);
  // The pages of the newest records are not a consistent snapshot, so reading
  // continues from the position of the first page.
  if (!Newest || !PositionKnown)
    Position = Reply.Page.Next;
  PositionKnown = true;
  try {
    if (!Reply.Page.Records.empty())
      Listener.onRecords(Feed, Reply.Page.Records);
  } catch (...) {
    // The feed is followed on, after the records that caused the error.
    scheduleRead(Listener.batchDelay(Feed));
    throw;
  }
  // A page that ends with the same key again would be followed by itself.
  if (Newest && Reply.Page.More && !Reply.Page.Records.empty() &&
      Reply.Page.Records.back().Key != PageKey) {
    PageKey = Reply.Page.Records.back().Key;
    readNewest();
    return;
  }
  PageKey.clear();
  if (Newest || Reply.Page.Records.empty()) {
    continueReading();
    return;
  }
  scheduleRead(Listener.batchDelay(Feed));
}

void StoreReader::onFault(StoreError Fault) {
  if (Fault == StoreError::Expired) {
    PositionKnown = false;
    PageKey.clear();
    readNewest();
    return;
  }
  setReachable(false);
  retryLater();
}

void StoreReader::setReachable(bool Value) {
  if (Reachable == Value)
    return;
  Reachable = Value;
  Listener.onReachable(Feed, Value);
}

void StoreReader::retryLater() {
  ++Failures;
  scheduleRead(Listener.retryBackoff(Failures));
}

void StoreReader::scheduleRead(Duration Delay) {
  Timer.expires_after(detail::timerSpan(Delay));
  Timer.async_wait([this](const boost::system::error_code &Error) {
    if (!Error && !Stopped)
      continueReading();
  });
}

void StoreReader::continueReading() {
  // A paged read of the newest records is completed before pausing.
  if (PageKey.empty() && !Listener.shouldRead()) {
    Paused = true;
    return;
  }
  if (PositionKnown && PageKey.empty())
    readNext();
  else
    readNewest();
}

} // namespace camphorpin
