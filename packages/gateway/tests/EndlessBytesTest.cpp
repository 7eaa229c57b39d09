// Guards against a faulty server that sends bytes without end: the exchange
// must end, the connection must be closed, and the node must hold a bounded
// number of bytes meanwhile.
#include "GatewayFixture.h"

#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

using namespace camphorpin;
using namespace camphorpin::test;

namespace {

/// A server that answers each connection's first bytes with \p Start and then
/// with \p Unit again and again, until the caller closes.
class EndlessServer {
public:
  EndlessServer(EventLoop &Loop, std::string Start, const std::string &Unit)
      : Acceptor(Loop, [this](TcpSocket Socket) { serve(std::move(Socket)); }),
        Start(std::move(Start)) {
    while (Repeated.size() < BlockBytes)
      Repeated += Unit;
    cr_assert_eq(Acceptor.listen(Address), std::string());
  }

  HostAddress Address = freeAddress();
  std::size_t Sent = 0;
  int ClosedByCaller = 0;

private:
  static constexpr std::size_t BlockBytes = 16384;
  struct Connection {
    TcpSocket Socket;
    std::array<char, 4096> Request{};
  };

  void serve(TcpSocket Socket) {
    const auto Item =
        std::make_shared<Connection>(Connection{std::move(Socket), {}});
    Item->Socket.async_read_some(
        boost::asio::buffer(Item->Request),
        [this, Item](const boost::system::error_code &Error, std::size_t) {
          if (!Error)
            send(Item, Start);
        });
  }

  void send(const std::shared_ptr<Connection> &Item, const std::string &Bytes) {
    boost::asio::async_write(
        Item->Socket, boost::asio::buffer(Bytes),
        [this, Item](const boost::system::error_code &Error,
                     std::size_t Count) {
          Sent += Count;
          if (Error)
            ++ClosedByCaller;
          else
            send(Item, Repeated);
        });
  }

  detail::AcceptLoop Acceptor;
  std::string Start;
  std::string Repeated;
};

struct EndlessAnswer {
  const char *Name;
  std::string Start;
  std::string Unit;
};

const std::string Head = "HTTP/1.1 200 OK\r\nCamphorpin-Request: q0\r\n";

std::vector<EndlessAnswer> endlessAnswers() {
  const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";
  return {
      {"no response at all", "x", "x"},
      {"head, one field", "HTTP/1.1 200 OK\r\nX: ", "x"},
      {"head, many fields", Head, "X: y\r\n"},
      {"body without length", Head + "\r\n", "x"},
      {"body with a length", Head + "Content-Length: 99999999999\r\n\r\n", "x"},
      {"chunks", Chunked, "5\r\nhello\r\n"},
      {"chunk extension", Chunked + "5;a=", "x"},
      {"trailer", Chunked + "0\r\n", "X: y\r\n"},
      {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"responses to another request", "",
       "HTTP/1.1 200 OK\r\nCamphorpin-Request: q9\r\n"
       "Content-Length: 2\r\n\r\nhi"},
  };
}

ExchangeRequest request() {
  ExchangeRequest Result;
  Result.Bytes = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  Result.Id = "q0";
  Result.IdHeader = "Camphorpin-Request";
  return Result;
}

} // namespace

Test(EndlessBytes, exchangeEndsAndConnectionIsClosed) {
  for (const EndlessAnswer &Item : endlessAnswers()) {
    EventLoop Loop;
    EndlessServer Server(Loop, Item.Start, Item.Unit);
    const auto Connection =
        std::make_shared<HttpConnection>(Loop, Server.Address);
    std::optional<ExchangeResult> Result;
    Connection->exchange(
        request(), [&](ExchangeResult Value) { Result = std::move(Value); });
    runUntil(Loop, Duration::seconds(20),
             [&] { return Result && Server.ClosedByCaller == 1; });
    cr_assert(Result.has_value(), "%s: no end", Item.Name);
    cr_assert_eq(Result->Outcome, ExchangeOutcome::Malformed, "%s", Item.Name);
    cr_assert_eq(Server.ClosedByCaller, 1, "%s: left open", Item.Name);
  }
}

// Guards the memory of the node against many such answers at once, and the
// other requests against them.
Test(EndlessBytes, manyAnswersStayWithinTheBudget) {
  constexpr std::size_t Capacity = 4U << 20U;
  constexpr int Count = 60;
  EventLoop Loop;
  EndlessServer Server(Loop, Head + "\r\n", "x");
  FakeBackend Sound(Loop, [](const std::shared_ptr<HttpExchange> &Exchange) {
    Exchange->reply(stampedReply(*Exchange, "whole"));
  });
  const auto Budget = std::make_shared<ByteBudget>(Capacity);
  int Ended = 0;
  std::size_t Most = 0;
  for (int Index = 0; Index < Count; ++Index)
    std::make_shared<HttpConnection>(Loop, Server.Address, Budget)
        ->exchange(request(), [&](const ExchangeResult &Result) {
          cr_assert_neq(Result.Outcome, ExchangeOutcome::Complete);
          ++Ended;
        });
  int Whole = 0;
  for (int Index = 0; Index < 10; ++Index) {
    ExchangeRequest Call = request();
    Call.Bytes = "GET /x HTTP/1.1\r\nHost: h\r\nCamphorpin-Request: q0\r\n\r\n";
    std::make_shared<HttpConnection>(Loop, Sound.Address, Budget)
        ->exchange(std::move(Call), [&](const ExchangeResult &Result) {
          Whole += Result.Outcome == ExchangeOutcome::Complete ? 1 : 0;
        });
  }
  runUntil(Loop, Duration::seconds(20), [&] {
    Most = std::max(Most, Budget->used());
    return Ended == Count && Whole == 10;
  });
  cr_assert_eq(Ended, Count);
  cr_assert_eq(Whole, 10);
  cr_assert_leq(Most, Capacity);
  cr_assert_eq(Budget->used(), 0U);
}
