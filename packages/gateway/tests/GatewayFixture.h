#ifndef CAMPHORPIN_TESTS_GATEWAYFIXTURE_H
#define CAMPHORPIN_TESTS_GATEWAYFIXTURE_H

#include "FreeAddress.h"
#include "camphorpin/Gateway.h"
#include "camphorpin/src/Gateway/AsyncHttpServer.h"
#include "camphorpin/src/Gateway/PeerServer.h"

#include <array>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpin::test {

/// A protocol with the default header names and without a store.
class PlainProtocol : public PlatformProtocol {
public:
  const HeaderNames &headers() const override { return Names; }
  std::string_view readyPath() const override { return "/ready"; }
  std::string newestRequest(StoreFeed, std::string_view) const override {
    return {};
  }
  StoreReply parseNewestReply(const HttpResponse &) const override {
    return {};
  }
  std::string readRequest(StoreFeed, std::uint64_t, Duration) const override {
    return {};
  }
  StoreReply parseReadReply(const HttpResponse &,
                            std::uint64_t) const override {
    return {};
  }
  std::optional<std::uint64_t> storeEra(const HttpResponse &) const override {
    return std::nullopt;
  }
  std::string appendRequest(StoreFeed, const StoreRecord &,
                            std::uint64_t) const override {
    return {};
  }
  bool isFenced(const HttpResponse &) const override { return false; }
  std::optional<FleetConfiguration>
  configuration(const StoreRecord &) const override {
    return std::nullopt;
  }
  std::optional<FleetConfiguration>
  configuration(std::string_view) const override {
    return std::nullopt;
  }
  LifecycleRequest parseLifecycleRequest(const HttpRequest &) const override {
    return {};
  }
  HttpReply lifecycleReply(bool) const override { return {}; }
  BackendProbe
  parseHealthResponse(const HttpResponse &Response) const override {
    return {Response.result_int() == 200,
            std::string(detail::headerOf(Response, Names.BackendId)), 4};
  }

private:
  HeaderNames Names;
};

/// A protocol whose store takes a record as the body of a POST.
class AppendProtocol : public PlainProtocol {
public:
  std::string appendRequest(StoreFeed, const StoreRecord &Record,
                            std::uint64_t) const override {
    return "POST /append HTTP/1.1\r\nHost: h\r\nContent-Length: " +
           std::to_string(Record.Value.size()) + "\r\n\r\n" + Record.Value;
  }
};

/// The path of health checks and the response head of the healthy backend
/// server "b1".
constexpr const char *HealthPath = "/health";
constexpr const char *HealthyHead =
    "HTTP/1.1 200 OK\r\nCamphorpin-Backend-Id: b1\r\n";

/// A TCP client that sends raw bytes and collects the received ones.
class RawClient {
public:
  RawClient(EventLoop &Loop, const HostAddress &Address)
      : Loop(Loop), Socket(Loop) {
    Socket.connect(detail::endpointOf(Address));
    read();
  }
  ~RawClient() { *Alive = false; }

  void send(std::string_view Bytes) {
    boost::asio::write(Socket, boost::asio::buffer(Bytes));
  }
  /// Sends bytes and ignores errors.
  void trySend(std::string_view Bytes) {
    boost::system::error_code Ignored;
    boost::asio::write(Socket, boost::asio::buffer(Bytes), Ignored);
  }
  void disconnect() { Socket.close(); }

  std::string Received;
  bool Ended = false;

private:
  void read() {
    Socket.async_read_some(
        boost::asio::buffer(Chunk),
        [this, Guard = Alive](const boost::system::error_code &Error,
                              std::size_t Bytes) {
          if (!*Guard)
            return;
          if (Error) {
            Ended = true;
            return;
          }
          Received.append(Chunk.data(), Bytes);
          read();
        });
  }

  EventLoop &Loop;
  TcpSocket Socket;
  std::array<char, 4096> Chunk{};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

/// A backend server whose responses the test defines.
class FakeBackend final : public HttpRequestHandler {
public:
  using Script = std::function<void(const std::shared_ptr<HttpExchange> &)>;

  FakeBackend(EventLoop &Loop, Script Answer)
      : Address(freeAddress()), Answer(std::move(Answer)), Server(Loop, *this) {
    Server.listen(Address);
  }

  void onRequest(const std::shared_ptr<HttpExchange> &Exchange) override {
    if (Exchange->request().target() == HealthPath) {
      Exchange->reply({200, HealthyHead, ""});
      return;
    }
    ++Arrivals;
    Answer(Exchange);
  }

  HostAddress Address;
  int Arrivals = 0;

private:
  Script Answer;
  AsyncHttpServer Server;
};

/// \returns a stamped response to \p Exchange with \p Body.
inline HttpReply stampedReply(const HttpExchange &Exchange, std::string Body) {
  HttpReply Reply;
  Reply.Status = 200;
  Reply.Head = "HTTP/1.1 200 OK\r\nCamphorpin-Stamp: s\r\nCamphorpin-Request: ";
  Reply.Head += detail::headerOf(Exchange.request(), "Camphorpin-Request");
  Reply.Head += "\r\n";
  Reply.Body = std::move(Body);
  return Reply;
}

/// Runs \p Loop until \p Done returns true or \p Span has passed.
inline void runUntil(EventLoop &Loop, Duration Span,
                     const std::function<bool()> &Done) {
  const auto End = std::chrono::steady_clock::now() + detail::timerSpan(Span);
  while (!Done() && std::chrono::steady_clock::now() < End)
    Loop.run_one_for(std::chrono::milliseconds(5));
}

/// Makes \p Proxy accept requests for the backend server "b1" at \p Address.
inline void makeAvailable(EventLoop &Loop, BackendProxy &Proxy,
                          const HostAddress &Address) {
  BackendReport Report;
  Report.Id = "b1";
  Report.Service = "shop";
  Report.Address = Address.toString();
  Report.Slots = 4;
  Report.Sequence = 1;
  Proxy.onReport(Report);
  runUntil(Loop, Duration::seconds(2),
           [&Proxy] { return Proxy.status().Available; });
}

} // namespace camphorpin::test

#endif
