#include "camphorpin/src/Gateway/StoreReader.h"

#include <utility>

namespace camphorpin {

std::string detail::nameOf(StoreFeed Feed) {
  switch (Feed) {
  case StoreFeed::Configuration:
    return "configuration";
  case StoreFeed::Members:
    return "members";
  case StoreFeed::Departures:
    return "departures";
  }
  return {};
}

std::string detail::nameOf(StoreReadError Error) {
  switch (Error) {
  case StoreReadError::Connect:
    return "connect";
  case StoreReadError::ConnectionLost:
    return "connection-lost";
  case StoreReadError::Timeout:
    return "timeout";
  case StoreReadError::Rejected:
    return "rejected";
  }
  return {};
}

StoreReader::StoreReader(EventLoop &Loop, const Clock &Time,
                         Random &RandomSource, const HostAddress &Address,
                         const PlatformProtocol &Protocol, StoreFeed Feed,
                         StoreReaderListener &Listener)
    : Loop(Loop), Time(Time), Protocol(Protocol), Feed(Feed),
      Listener(Listener), Pacing(Feed, RandomSource), Pool(Loop, Address),
      Timer(Loop), LastAnswer(Time.now()) {}

void StoreReader::stop() {
  Stopped = true;
  Timer.cancel();
  if (Connection)
    Connection->close();
  Pool.clear();
}

void StoreReader::readNewest() {
  call(Protocol.newestRequest(Feed, PageKey), StoreReadPacing::ResponseTimeout,
       /*Newest=*/true);
}

void StoreReader::readNext() {
  const Duration Wait =
      Pacing.longPollTimeout(Listener.readerRole(), Time.wallNow());
  call(Protocol.readRequest(Feed, Position, Wait),
       Wait + StoreReadPacing::ResponseTimeout,
       /*Newest=*/false);
}

void StoreReader::restartRead() {
  if (Stopped || !PositionKnown || !Following)
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
  CallSent = Time.now();
  Following = !Newest;
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
    Following = false;
    Connection->close();
    onFailure(StoreReadError::Timeout);
  });
}

void StoreReader::onResult(const ExchangeResult &Result, bool Newest) {
  if (Stopped)
    return;
  Following = false;
  Timer.cancel();
  if (Result.Outcome != ExchangeOutcome::Complete) {
    onFailure(Result.Outcome == ExchangeOutcome::NotSent
                  ? StoreReadError::Connect
                  : StoreReadError::ConnectionLost);
    return;
  }
  Pool.release(Connection);
  const bool FirstPage = Newest && PageKey.empty();
  const bool OtherEra = updateEra(Result.Response);
  StoreReply Reply = Newest
                         ? Protocol.parseNewestReply(Result.Response)
                         : Protocol.parseReadReply(Result.Response, Position);
  if (Reply.Fault == StoreError::Refused) {
    onFailure(StoreReadError::Rejected);
    return;
  }
  if (Reply.Fault == StoreError::Expired || (OtherEra && !FirstPage)) {
    forgetPosition();
    readNewest();
    return;
  }
  Pacing.onAnswer();
  LastAnswer = Time.now();
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
    scheduleRead(Pacing.batchDelay(Listener.readerRole()));
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
  scheduleRead(Pacing.batchDelay(Listener.readerRole()));
}

bool StoreReader::updateEra(const HttpResponse &Response) {
  const std::optional<std::uint64_t> Answered = Protocol.storeEra(Response);
  if (!Answered || Answered == Era)
    return false;
  const std::optional<std::uint64_t> Before = std::exchange(Era, Answered);
  forgetPosition();
  Listener.onEraChanged(Feed, {Before, *Answered, Position});
  return true;
}

void StoreReader::forgetPosition() {
  PositionKnown = false;
  PageKey.clear();
}

void StoreReader::onStoreEra(std::uint64_t Now) {
  if (Stopped || !Era || *Era >= Now)
    return;
  Era = Now;
  forgetPosition();
  if (Paused)
    return;
  Connection->close();
  readNewest();
}

void StoreReader::onFailure(StoreReadError Reason) {
  StoreReadFailure Failure;
  Failure.Reason = Reason;
  Failure.Elapsed = Time.now() - CallSent;
  Failure.RetryDelay = Pacing.onFailure(Listener.readerRole(), Failure.Elapsed);
  Failure.Failures = Pacing.failures();
  Listener.onReadFailed(Feed, Failure);
  setReachable(false);
  scheduleRead(Failure.RetryDelay);
}

void StoreReader::setReachable(bool Value) {
  if (Reachable == Value)
    return;
  Reachable = Value;
  Listener.onReachable(Feed, Value);
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
