#include "camphorpin/src/Http/BlockingHttpClient.h"

#include <chrono>
#include <optional>
#include <utility>

namespace camphorpin {

ExchangeResult BlockingHttpClient::exchange(ExchangeRequest Request,
                                            Duration Timeout) {
  dropUnusable();
  try {
    // The event loop opens its descriptors with its first socket.
    if (!Connection)
      Connection = std::make_shared<HttpConnection>(Loop, Address);
  } catch (const boost::system::system_error &) {
    ExchangeResult Result;
    Result.Outcome = ExchangeOutcome::NotSent;
    return Result;
  }
  std::optional<ExchangeResult> Result;
  Connection->exchange(std::move(Request), [&Result](ExchangeResult Value) {
    Result = std::move(Value);
  });
  const std::chrono::steady_clock::time_point End =
      std::chrono::steady_clock::now() + detail::timerSpan(Timeout);
  Loop.restart();
  // Connects and sends also if the timeout passes before this thread runs on.
  Loop.poll();
  while (!Result && Loop.run_one_until(End) > 0) {
  }
  if (Result)
    return *std::move(Result);
  ExchangeResult Unfinished;
  Unfinished.Outcome = Connection->connected() ? ExchangeOutcome::ConnectionLost
                                               : ExchangeOutcome::NotSent;
  disconnect();
  return Unfinished;
}

void BlockingHttpClient::disconnect() {
  if (Connection)
    Connection->close();
  Connection = nullptr;
}

void BlockingHttpClient::dropUnusable() {
  // Handles what has arrived since the last exchange.
  Loop.restart();
  Loop.poll();
  if (Connection && !Connection->reusable())
    disconnect();
}

} // namespace camphorpin
