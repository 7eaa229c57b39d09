#ifndef CAMPHORPIN_TESTS_DEFERRINGSERVER_H
#define CAMPHORPIN_TESTS_DEFERRINGSERVER_H

#include "GatewayFixture.h"

#include <memory>
#include <string>
#include <vector>

namespace camphorpin::test {

/// A server with a byte budget, which defers its responses to the test.
struct DeferringServer : HttpRequestHandler {
  EventLoop Loop;
  HostAddress Address = freeAddress();
  std::shared_ptr<ByteBudget> Budget;
  AsyncHttpServer Server{Loop, *this};
  std::vector<std::shared_ptr<HttpExchange>> Deferred;

  explicit DeferringServer(std::size_t BudgetBytes)
      : Budget(std::make_shared<ByteBudget>(BudgetBytes)) {
    Server.setByteBudget(Budget);
    Server.listen(Address);
  }
  void onRequest(const std::shared_ptr<HttpExchange> &Exchange) override {
    Deferred.push_back(Exchange);
  }

  /// Sends a body in parts while the server runs.
  void sendBody(RawClient &Client, std::size_t Bytes) {
    const std::string Part(std::size_t(64) << 10U, 'b');
    for (std::size_t Sent = 0; Sent < Bytes; Sent += Part.size()) {
      Client.trySend(Part);
      runUntil(Loop, Duration::millis(1), [] { return false; });
    }
  }
};

/// \returns the head of a request with a body of \p Bytes bytes.
inline std::string postHead(std::size_t Bytes) {
  return "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(Bytes) + "\r\n\r\n";
}

} // namespace camphorpin::test

#endif
