#include "camphorpin/src/Gateway/DepartureStore.h"

#include <algorithm>
#include <utility>

namespace camphorpin {

namespace {

constexpr Duration ResponseTimeout = Duration::millis(1500);
constexpr Duration RetryDelay = Duration::millis(500);
/// How long a restarted node waits for the store before it trusts a health
/// check.
constexpr Duration MaxLoadWait = Duration::millis(1500);

} // namespace

DepartureStore::DepartureStore(EventLoop &Loop, const Clock &Time,
                               Random &RandomSource, const HostAddress &Address,
                               const PlatformProtocol &Protocol,
                               std::string Node)
    : Protocol(Protocol), Node(std::move(Node)), Pool(Loop, Address),
      Writer(Loop, Time, RandomSource, Address, Protocol, StoreFeed::Departures,
             /*OnEra=*/{}),
      Timer(Loop), WaitTimer(Loop) {}

void DepartureStore::load(LoadCallback Done) {
  OnLoaded = std::move(Done);
  Loading = true;
  WaitTimer.expires_after(detail::timerSpan(MaxLoadWait));
  WaitTimer.async_wait([this](const boost::system::error_code &Error) {
    if (!Error)
      OnLoaded({});
  });
  read();
}

void DepartureStore::read() {
  Connection = Pool.acquire();
  ExchangeRequest Call;
  // The pages are ordered by key. Each key that begins like the node's name and
  // is shorter comes before it.
  Call.Bytes = Protocol.newestRequest(
      StoreFeed::Departures,
      std::string_view(Node).substr(0, Node.empty() ? 0 : Node.size() - 1));
  Connection->exchange(std::move(Call), [this](const ExchangeResult &Result) {
    onReply(Result);
  });
  Timer.expires_after(detail::timerSpan(ResponseTimeout));
  Timer.async_wait([this](const boost::system::error_code &Error) {
    if (Error)
      return;
    Connection->close();
    retryLater();
  });
}

void DepartureStore::onReply(const ExchangeResult &Result) {
  Timer.cancel();
  StoreReply Reply;
  Reply.Fault = StoreError::Refused;
  if (Result.Outcome == ExchangeOutcome::Complete)
    Reply = Protocol.parseNewestReply(Result.Response);
  Connection->close();
  if (Reply.Fault != StoreError::None) {
    retryLater();
    return;
  }
  WaitTimer.cancel();
  Loading = false;
  const auto Own = std::find_if(
      Reply.Page.Records.begin(), Reply.Page.Records.end(),
      [this](const StoreRecord &Item) { return Item.Key == Node; });
  if (Own == Reply.Page.Records.end()) {
    OnLoaded({});
    return;
  }
  Writer.adopt(*Own, Protocol.storeEra(Result.Response).value_or(0));
  OnLoaded(detail::parseDepartures(Own->Value));
}

void DepartureStore::retryLater() {
  Timer.expires_after(detail::timerSpan(RetryDelay));
  Timer.async_wait([this](const boost::system::error_code &Error) {
    if (!Error)
      read();
  });
}

void DepartureStore::save(std::span<const BackendDeparture> Departures) {
  if (!Loading)
    Writer.write({Node, detail::departuresToJson(Departures)});
}

} // namespace camphorpin
