#include "GatewayFixture.h"

#include <criterion/criterion.h>
#include <stdexcept>
#include <thread>

using namespace camphorpin;
using namespace camphorpin::test;

namespace {

/// Fails on each lifecycle request.
class FailingProtocol final : public PlainProtocol {
public:
  LifecycleRequest parseLifecycleRequest(const HttpRequest &) const override {
    throw std::runtime_error("unexpected");
  }
};

GatewaySettings settings() {
  GatewaySettings Result;
  Result.Node = "n";
  Result.Zone = "z";
  Result.Service = "s";
  Result.CallAddress = freeAddress();
  Result.ReadyAddress = freeAddress();
  Result.ReportAddress = freeAddress();
  Result.PeerAddress = freeAddress();
  Result.BackendAddress = freeAddress();
  Result.StoreAddress = freeAddress();
  Result.Logging.Level = "error";
  return Result;
}

/// \returns all that \p Address answers to \p Request.
std::string answer(const HostAddress &Address, const std::string &Request) {
  EventLoop Loop;
  RawClient Client(Loop, Address);
  Client.send(Request);
  runUntil(Loop, Duration::seconds(2), [&] { return Client.Ended; });
  return Client.Received;
}

} // namespace

// Guards a node against an unexpected error in the handling of one message: the
// process goes on and serves the next one.
Test(Gateway, errorInOneHandlerDoesNotEndTheNode) {
  const GatewaySettings Settings = settings();
  const FailingProtocol Protocol;
  Gateway Node(Settings, Protocol);
  cr_assert_eq(Node.start(), std::string());
  std::thread Runner([&] { Node.run(); });
  const std::string Report =
      "PUT /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
  for (int Count = 0; Count < 3; ++Count)
    cr_assert(
        answer(Settings.ReportAddress, Report).starts_with("HTTP/1.1 500"));
  // No configuration is known.
  cr_assert(
      answer(Settings.ReadyAddress,
             "GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
          .starts_with("HTTP/1.1 503"));
  Node.abort();
  Runner.join();
}
